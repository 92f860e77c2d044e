#include "rollout/text_origin.hpp"

#include "base/json_fields.hpp"

#include <utility>

namespace gooseberrywood::rollout
{

namespace
{

constexpr char const* service_field = "service";
constexpr char const* software_version_field = "software_version";

} // namespace

void add_fields(nlohmann::json& object, text_origin const& origin)
{
    object[service_field] = origin.service;
    object[software_version_field] = origin.software_version;
}

std::optional<text_origin> read_origin(nlohmann::json const& object)
{
    auto service = base::read_text(object, service_field);
    auto version = base::read_text(object, software_version_field);
    if (!service || !version || service->empty() || version->empty())
    {
        return std::nullopt;
    }
    return text_origin{std::move(*service), std::move(*version)};
}

std::string encode(text_origin const& origin)
{
    auto body = nlohmann::json::object();
    add_fields(body, origin);
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<text_origin> decode_origin(std::string_view text)
{
    auto const body = base::parse_object(text);
    return body ? read_origin(*body) : std::nullopt;
}

} // namespace gooseberrywood::rollout
