#include "fleet/pool.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::fleet
{

namespace
{

// First pause after a failure; doubles with each further one.
constexpr base::duration suspension_base = std::chrono::milliseconds(300);
constexpr base::duration suspension_max = std::chrono::seconds(4);
constexpr std::uint32_t suspension_doublings = 4;

// A full upstream has a place again after about one request.
constexpr base::duration full_pause = std::chrono::milliseconds(50);

// A load takes about a second, and an upstream that follows another model never has the weights.
constexpr base::duration ask_weights_pause = std::chrono::milliseconds(1000);

// An upstream that refuses samples usually loads weights, for about a second.
constexpr base::duration refusal_pause = std::chrono::milliseconds(150);

void update(upstream& known, upstream_record const& listed)
{
    bool const restarted =
        known.record.started_ms != listed.started_ms || known.record.address != listed.address;
    auto const weights = std::move(known.record.weights);
    known.record = listed;
    known.missing = false;
    if (restarted)
    {
        auto const running = known.running;
        known = upstream{};
        known.record = listed;
        known.running = running;
        return;
    }
    // Answers tell of new weights before the list does.
    for (auto const& [model, version] : weights)
    {
        auto& now_known = known.record.weights[model];
        now_known = std::max(now_known, version);
    }
}

void remove_missing(pool& from, std::set<std::string_view> const& listed, base::mono_time now,
                    pool_change& change)
{
    for (auto at = from.upstreams.begin(); at != from.upstreams.end();)
    {
        if (listed.contains(at->first))
        {
            ++at;
            continue;
        }
        if (now < from.keep_missing_until)
        {
            at->second.missing = true;
            ++at;
            continue;
        }
        change.removed.push_back(at->first);
        at = from.upstreams.erase(at);
    }
}

} // namespace

pool_change apply_list(pool& to, std::span<upstream_record const> listed, base::mono_time now)
{
    pool_change change;
    std::set<std::string_view> ids;
    for (auto const& record : listed)
    {
        ids.insert(record.id);
        auto const [at, is_new] = to.upstreams.try_emplace(record.id);
        if (is_new)
        {
            at->second.record = record;
            change.added.push_back(record.id);
            continue;
        }
        if (record.draining && !at->second.record.draining)
        {
            change.draining.push_back(record.id);
        }
        update(at->second, record);
    }
    remove_missing(to, ids, now, change);
    return change;
}

void note_weights(pool& in, std::string_view id, std::string_view model, std::uint32_t version)
{
    auto* const found = find_upstream(in, id);
    if (found == nullptr)
    {
        return;
    }
    auto& known = found->record.weights[std::string(model)];
    known = std::max(known, version);
}

void note_load_order(pool& in, std::string_view id, announced_weights const& what)
{
    if (auto* const found = find_upstream(in, id))
    {
        found->announced = what;
        found->loading_until = std::max(found->loading_until, what.loaded_at);
    }
}

void note_request_sent(pool& in, std::string_view id, base::mono_time now)
{
    auto* const found = find_upstream(in, id);
    if (found == nullptr)
    {
        return;
    }
    ++found->running;
    if (now < found->record.cold_until)
    {
        found->cold_tokens -= 1;
    }
}

void note_request_ended(pool& in, std::string_view id)
{
    auto* const found = find_upstream(in, id);
    if (found != nullptr && found->running > 0)
    {
        --found->running;
    }
}

void note_answer_time(pool& in, std::string_view id, base::duration answer_time,
                      base::mono_time now)
{
    if (auto* const found = find_upstream(in, id))
    {
        add_sample(found->answer_time, answer_time, now);
        found->failures = 0;
    }
}

void note_event_interval(pool& in, std::string_view id, base::duration pause, base::mono_time now)
{
    if (auto* const found = find_upstream(in, id))
    {
        add_sample(found->event_time, pause, now);
        found->failures = 0;
    }
}

void discard_stale_means(pool& in, base::mono_time now)
{
    for (auto& [id, one] : in.upstreams)
    {
        forget_if_old(one.event_time, now);
        forget_if_old(one.answer_time, now);
    }
}

void note_failure(pool& in, std::string_view id, base::mono_time now)
{
    auto* const found = find_upstream(in, id);
    // Requests that fail together, as when an upstream crashes, count once.
    if (found == nullptr || now < found->suspended_until)
    {
        return;
    }
    auto const doublings = std::min(found->failures, suspension_doublings);
    ++found->failures;
    found->suspended_until =
        now + std::min(suspension_max, suspension_base * (std::int64_t{1} << doublings));
}

void note_full(pool& in, std::string_view id, base::mono_time now)
{
    if (auto* const found = find_upstream(in, id))
    {
        found->suspended_until = std::max(found->suspended_until, now + full_pause);
    }
}

void note_sample_refused(pool& in, std::string_view id, base::mono_time now)
{
    if (auto* const found = find_upstream(in, id))
    {
        found->on_probation = true;
        found->loading_until = std::max(found->loading_until, now + refusal_pause);
    }
}

void note_weights_missing(pool& in, std::string_view id, base::mono_time now)
{
    if (auto* const found = find_upstream(in, id))
    {
        found->ask_weights_at = now + ask_weights_pause;
    }
}

void note_sample_started(pool& in, std::string_view id)
{
    if (auto* const found = find_upstream(in, id))
    {
        found->on_probation = false;
    }
}

void note_sample_sent(pool& in, std::string_view id, base::mono_time now)
{
    note_request_sent(in, id, now);
    if (auto* const found = find_upstream(in, id))
    {
        ++found->unanswered;
    }
}

void note_sample_answered(pool& in, std::string_view id)
{
    auto* const found = find_upstream(in, id);
    if (found != nullptr && found->unanswered > 0)
    {
        --found->unanswered;
    }
}

upstream* find_upstream(pool& in, std::string_view id)
{
    auto const at = in.upstreams.find(id);
    return at != in.upstreams.end() ? &at->second : nullptr;
}

} // namespace gooseberrywood::fleet
