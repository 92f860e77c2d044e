#include "rollout/result_chunk.hpp"

#include "base/json_fields.hpp"

#include <utility>

namespace gooseberrywood::rollout
{

namespace
{

using nlohmann::json;

json to_json(sample_result const& from)
{
    return {{"id", from.id},
            {"done", from.done},
            {"text", from.text},
            {"versions", from.versions},
            {"score", from.score}};
}

std::optional<sample_result> from_json(json const& from)
{
    auto id = base::read_text(from, "id");
    auto const done = base::read_flag(from, "done");
    auto text = base::read_text(from, "text");
    auto const* const versions = base::read_list(from, "versions");
    auto score = base::read_text(from, "score");
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
    for (auto const& one : results)
    {
        list.push_back(to_json(one));
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
    for (auto const& one : *list)
    {
        auto result = from_json(one);
        if (!result)
        {
            return std::nullopt;
        }
        results.push_back(std::move(*result));
    }
    return results;
}

} // namespace gooseberrywood::rollout
