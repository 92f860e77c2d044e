#include "rollout/saved_progress.hpp"

#include "base/json_fields.hpp"

#include <utility>

namespace gooseberrywood::rollout
{

namespace
{

using nlohmann::json;

json to_json(std::string const& id, sample_progress const& from)
{
    return {{"id", id},
            {"text", from.text},
            {"events", from.events},
            {"last_event_id", from.last_event_id.value_or(0)},
            {"versions", from.versions},
            {"complete", from.complete},
            {"failed_runs", from.failed_runs},
            {"failed_rewards", from.failed_rewards}};
}

bool read_versions(json const& from, std::set<std::uint32_t>& into)
{
    auto const* const versions = base::read_list(from, "versions");
    if (versions == nullptr)
    {
        return false;
    }
    for (auto const& version : *versions)
    {
        if (!version.is_number_unsigned())
        {
            return false;
        }
        into.insert(version.get<std::uint32_t>());
    }
    return true;
}

std::optional<sample_progress> from_json(json const& from)
{
    auto text = base::read_text(from, "text");
    auto const events = base::read_unsigned(from, "events");
    auto const last = base::read_unsigned(from, "last_event_id");
    auto const complete = base::read_flag(from, "complete");
    auto const failed_runs = base::read_unsigned(from, "failed_runs");
    auto const failed_rewards = base::read_unsigned(from, "failed_rewards");
    sample_progress progress;
    if (!text || !events || !last || !complete || !failed_runs || !failed_rewards ||
        !read_versions(from, progress.versions))
    {
        return std::nullopt;
    }
    progress.text = std::move(*text);
    progress.events = *events;
    if (*events > 0)
    {
        progress.last_event_id = static_cast<std::int64_t>(*last);
    }
    progress.complete = *complete;
    progress.failed_runs = static_cast<std::uint32_t>(*failed_runs);
    progress.failed_rewards = static_cast<std::uint32_t>(*failed_rewards);
    return progress;
}

} // namespace

std::string encode_progress(saved_progress const& of)
{
    json samples = json::array();
    for (auto const& [id, progress] : of)
    {
        samples.push_back(to_json(id, progress));
    }
    return json{{"samples", std::move(samples)}}.dump(-1, ' ', false,
                                                      json::error_handler_t::replace);
}

std::optional<saved_progress> decode_progress(std::string_view text)
{
    auto const body = base::parse_object(text);
    auto const* const samples = body ? base::read_list(*body, "samples") : nullptr;
    if (samples == nullptr)
    {
        return std::nullopt;
    }
    saved_progress decoded;
    for (auto const& one : *samples)
    {
        auto const id = base::read_text(one, "id");
        auto progress = from_json(one);
        if (!id || !progress)
        {
            return std::nullopt;
        }
        decoded[*id] = std::move(*progress);
    }
    return decoded;
}

} // namespace gooseberrywood::rollout
