#include "rollout/saved_progress.hpp"

#include "base/json_fields.hpp"

#include <limits>
#include <utility>

namespace gooseberrywood::rollout
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t max_event_id = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t max_count = std::numeric_limits<std::uint32_t>::max();

json to_json(std::string const& id, sample_progress const& progress)
{
    json object = {{"id", id},
                   {"text", progress.text},
                   {"events", progress.events},
                   {"last_event_id", progress.last_event_id.value_or(0)},
                   {"versions", progress.versions},
                   {"complete", progress.complete},
                   {"failed_runs", progress.failed_runs},
                   {"failed_rewards", progress.failed_rewards}};
    if (progress.origin)
    {
        add_fields(object, *progress.origin);
    }
    return object;
}

bool read_versions(json const& item, std::set<std::uint32_t>& versions)
{
    auto const* const list = base::read_list(item, "versions");
    if (list == nullptr)
    {
        return false;
    }
    for (auto const& version : *list)
    {
        if (!version.is_number_unsigned() || version.get<std::uint64_t>() > max_count)
        {
            return false;
        }
        versions.insert(version.get<std::uint32_t>());
    }
    return true;
}

std::optional<sample_progress> from_json(json const& item)
{
    auto text = base::read_text(item, "text");
    auto const events = base::read_unsigned(item, "events");
    auto const last_event_id = base::read_unsigned(item, "last_event_id", max_event_id);
    auto const complete = base::read_flag(item, "complete");
    auto const failed_runs = base::read_unsigned(item, "failed_runs", max_count);
    auto const failed_rewards = base::read_unsigned(item, "failed_rewards", max_count);
    sample_progress progress;
    if (!text || !events || !last_event_id || !complete || !failed_runs || !failed_rewards ||
        !read_versions(item, progress.versions))
    {
        return std::nullopt;
    }
    progress.text = std::move(*text);
    progress.events = *events;
    if (*events > 0)
    {
        progress.last_event_id = static_cast<std::int64_t>(*last_event_id);
    }
    progress.complete = *complete;
    progress.failed_runs = static_cast<std::uint32_t>(*failed_runs);
    progress.failed_rewards = static_cast<std::uint32_t>(*failed_rewards);
    progress.origin = read_origin(item);
    if (!progress.origin)
    {
        // Builds up to 0.1.0 saved no origin. No upstream may continue a text of unknown origin.
        discard_text(progress);
    }
    return progress;
}

} // namespace

std::string encode_progress(saved_progress const& progress)
{
    json samples = json::array();
    for (auto const& [id, sample] : progress)
    {
        samples.push_back(to_json(id, sample));
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
    for (auto const& item : *samples)
    {
        auto const id = base::read_text(item, "id");
        auto progress = from_json(item);
        if (!id || !progress)
        {
            return std::nullopt;
        }
        decoded[*id] = std::move(*progress);
    }
    return decoded;
}

} // namespace gooseberrywood::rollout
