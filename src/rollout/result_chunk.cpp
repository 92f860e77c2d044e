#include "rollout/result_chunk.hpp"

#include "base/json_fields.hpp"

#include <utility>

namespace gooseberrywood::rollout
{

namespace
{

using nlohmann::json;

json to_json(sample_result const& result)
{
    return {{"id", result.id},
            {"done", result.done},
            {"text", result.text},
            {"versions", result.versions},
            {"score", result.score}};
}

std::optional<sample_result> from_json(json const& item)
{
    auto id = base::read_text(item, "id");
    auto const done = base::read_flag(item, "done");
    auto text = base::read_text(item, "text");
    auto const* const versions = base::read_list(item, "versions");
    auto score = base::read_text(item, "score");
    if (!id || !done || !text || versions == nullptr || !score)
    {
        return std::nullopt;
    }
    sample_result result{std::move(*id), *done, std::move(*text), {}, std::move(*score)};
    for (auto const& version : *versions)
    {
        if (!version.is_number_unsigned())
        {
            return std::nullopt;
        }
        result.versions.push_back(version.get<std::uint32_t>());
    }
    return result;
}

} // namespace

std::string encode_results(std::span<sample_result const> results)
{
    json list = json::array();
    for (auto const& result : results)
    {
        list.push_back(to_json(result));
    }
    return json{{"results", std::move(list)}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::vector<sample_result>> decode_results(std::string_view text)
{
    auto const body = base::parse_object(text);
    auto const* const list = body ? base::read_list(*body, "results") : nullptr;
    if (list == nullptr)
    {
        return std::nullopt;
    }
    std::vector<sample_result> results;
    for (auto const& item : *list)
    {
        auto result = from_json(item);
        if (!result)
        {
            return std::nullopt;
        }
        results.push_back(std::move(*result));
    }
    return results;
}

} // namespace gooseberrywood::rollout
