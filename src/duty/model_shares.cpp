#include "duty/model_shares.hpp"

#include "base/json_fields.hpp"

namespace gooseberrywood::duty
{

std::string encode_shares(fleet::model_shares const& shares)
{
    nlohmann::json body = nlohmann::json::object();
    for (auto const& [upstream, model] : shares)
    {
        body[upstream] = model;
    }
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<fleet::model_shares> decode_shares(std::string_view text)
{
    auto const body = base::parse_object(text);
    if (!body)
    {
        return std::nullopt;
    }
    fleet::model_shares shares;
    for (auto const& [upstream, model] : body->items())
    {
        if (!model.is_string())
        {
            return std::nullopt;
        }
        shares[upstream] = model.get<std::string>();
    }
    return shares;
}

} // namespace gooseberrywood::duty
