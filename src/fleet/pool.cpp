#include "fleet/pool.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::fleet
{

namespace
{

// Suspension after the first failure; it doubles with each consecutive one.
constexpr base::duration base_suspension = std::chrono::milliseconds(300);
constexpr base::duration max_suspension = std::chrono::seconds(4);
constexpr std::uint32_t max_suspension_doublings = 4;

// A full upstream has a free slot again after about the duration of one request.
constexpr base::duration full_suspension = std::chrono::milliseconds(50);

// Loading weights takes about a second. An upstream that is assigned to another model never gets
// these weights, so it must not be probed often.
constexpr base::duration weights_probe_interval = std::chrono::milliseconds(1000);

// An upstream that refuses samples is usually loading weights, which takes about a second.
constexpr base::duration refusal_pause = std::chrono::milliseconds(150);

// A slow phase of 0.6 s changes the mean over this time by a third, so that only the longest
// samples move because of one.
constexpr base::duration steady_period = std::chrono::milliseconds(1500);

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
        auto const outstanding = known.outstanding;
        auto const unanswered_since = known.unanswered_since;
        known = upstream{};
        known.record = listed;
        known.running = running;
        known.outstanding = outstanding;
        known.unanswered_since = unanswered_since;
        return;
    }
    // Answers show new weights earlier than the list does.
    for (auto const& [model, version] : weights)
    {
        auto& known_version = known.record.weights[model];
        known_version = std::max(known_version, version);
    }
}

// An upstream that is cut off from the store for longer is taken as gone.
constexpr base::duration unlisted_limit_lifetime = std::chrono::seconds(120);

void keep_limit(pool& pool, upstream const& removed, base::mono_time now)
{
    if (removed.limit.requests_per_s)
    {
        pool.unlisted_limits[removed.record.id] = {removed.record.started_ms, removed.limit,
                                                   now + unlisted_limit_lifetime};
    }
}

/// Restores the rate limit of an upstream that is listed again, unless it has restarted.
void restore_limit(pool& pool, upstream& added)
{
    auto const kept = pool.unlisted_limits.extract(added.record.id);
    if (!kept.empty() && kept.mapped().started_ms == added.record.started_ms)
    {
        added.limit = kept.mapped().limit;
    }
}

void remove_missing(pool& pool, std::set<std::string_view> const& listed, base::mono_time now,
                    pool_change& change)
{
    for (auto it = pool.upstreams.begin(); it != pool.upstreams.end();)
    {
        if (listed.contains(it->first))
        {
            ++it;
            continue;
        }
        if (now < pool.keep_missing_until)
        {
            it->second.missing = true;
            ++it;
            continue;
        }
        change.removed.push_back(it->first);
        keep_limit(pool, it->second, now);
        it = pool.upstreams.erase(it);
    }
}

// Limits a measured response time relative to the median: the longest requests take 220 ms where
// most take 25 ms, and an upstream must not count as slow for seconds because of one.
constexpr double max_answer_ratio = 3;

/// Adds a response time to the mean, converted to that of a request of mean cost.
void add_answer_time(pool& pool, upstream& measured, base::duration answer_time,
                     base::mono_time now, double work)
{
    auto const median_us = answer_times(pool, measured.record.service, now).median_us;
    auto us = static_cast<double>(answer_time.count()) / work;
    if (median_us > 0)
    {
        us = std::min(us, max_answer_ratio * median_us);
    }
    add_measurement(measured.answer_time, base::duration(static_cast<std::int64_t>(us)), now);
}

service_times& times_of(pool& pool, std::string_view service)
{
    auto const it = pool.times.find(service);
    return it != pool.times.end() ? it->second : pool.times[std::string(service)];
}

} // namespace

pool_change apply_list(pool& pool, std::span<upstream_record const> listed, base::mono_time now)
{
    pool_change change;
    std::set<std::string_view> ids;
    for (auto const& record : listed)
    {
        ids.insert(record.id);
        auto const [it, is_new] = pool.upstreams.try_emplace(record.id);
        if (is_new)
        {
            it->second.record = record;
            restore_limit(pool, it->second);
            it->second.leaving = keep_departure(pool.departures, incarnation_of(record), now);
            change.added.push_back(record.id);
            continue;
        }
        if (record.draining && !it->second.record.draining)
        {
            change.draining.push_back(record.id);
        }
        update(it->second, record);
        it->second.leaving = keep_departure(pool.departures, incarnation_of(record), now);
    }
    remove_missing(pool, ids, now, change);
    std::erase_if(pool.unlisted_limits,
                  [&](auto const& kept) { return now >= kept.second.forget_at; });
    drop_old_departures(pool.departures, now);
    return change;
}

void note_weights(pool& pool, std::string_view id, std::string_view model, std::uint32_t version)
{
    auto* const found = find_upstream(pool, id);
    if (found == nullptr)
    {
        return;
    }
    auto& known_version = found->record.weights[std::string(model)];
    known_version = std::max(known_version, version);
}

void note_load_order(pool& pool, std::string_view id, announced_weights const& weights)
{
    if (auto* const found = find_upstream(pool, id))
    {
        found->announced = weights;
        found->loading_until = std::max(found->loading_until, weights.loaded_at);
    }
}

bool note_leaving(pool& pool, incarnation const& leaving, base::mono_time now)
{
    auto* const found = find_upstream(pool, leaving.id);
    if (found != nullptr && incarnation_of(found->record) == leaving)
    {
        found->leaving = true;
    }
    return mark_departure(pool.departures, leaving, now);
}

void note_request_sent(pool& pool, std::string_view id, base::mono_time now,
                       request_work const& work)
{
    auto* const found = find_upstream(pool, id);
    if (found == nullptr)
    {
        return;
    }
    if (found->running == 0)
    {
        found->unanswered_since = now;
    }
    ++found->running;
    add_work(found->outstanding, work);
    use_permit(found->limit, now);
    if (now < found->record.cold_until)
    {
        found->cold_budget -= 1;
    }
}

void note_request_ended(pool& pool, std::string_view id, request_work const& work)
{
    auto* const found = find_upstream(pool, id);
    if (found != nullptr && found->running > 0)
    {
        --found->running;
        remove_work(found->outstanding, work);
    }
}

void note_event(pool& pool, std::string_view id, request_work& work)
{
    if (auto* const found = find_upstream(pool, id))
    {
        reduce_work(found->outstanding, work, 1);
    }
}

peer_times const& event_times(pool& pool, std::string_view service, base::mono_time now)
{
    auto& times = times_of(pool, service).event;
    refresh_times(times, pool.upstreams, service, &upstream::event_time, now);
    return times;
}

peer_times const& answer_times(pool& pool, std::string_view service, base::mono_time now)
{
    auto& times = times_of(pool, service).answer;
    refresh_times(times, pool.upstreams, service, &upstream::answer_time, now);
    return times;
}

void note_answer_time(pool& pool, std::string_view id, base::duration answer_time,
                      base::mono_time now, double work)
{
    if (auto* const found = find_upstream(pool, id))
    {
        add_answer_time(pool, *found, answer_time, now, work);
        found->unanswered_since = now;
        found->failures = 0;
    }
}

void note_abandoned(pool& pool, std::string_view id, base::duration elapsed, base::mono_time now,
                    double work)
{
    auto* const found = find_upstream(pool, id);
    if (found == nullptr)
    {
        return;
    }
    auto const peers_us = answer_times(pool, found->record.service, now).median_us;
    auto const expected_us = work * current_us(found->answer_time, peers_us, now);
    if (static_cast<double>(elapsed.count()) > expected_us)
    {
        add_answer_time(pool, *found, elapsed, now, work);
    }
}

void note_event_interval(pool& pool, std::string_view id, base::duration interval,
                         base::mono_time now)
{
    if (auto* const found = find_upstream(pool, id))
    {
        add_measurement(found->event_time, interval, now);
        add_measurement_over(found->steady_event_time, interval, steady_period, now);
        found->failures = 0;
    }
}

void discard_stale_means(pool& pool, base::mono_time now)
{
    for (auto& [id, upstream] : pool.upstreams)
    {
        reset_if_stale(upstream.event_time, now);
        reset_if_stale(upstream.steady_event_time, now);
        reset_if_stale(upstream.answer_time, now);
    }
}

void note_failure(pool& pool, std::string_view id, base::mono_time now)
{
    auto* const found = find_upstream(pool, id);
    // Requests that fail together, for example when an upstream crashes, count as one failure.
    if (found == nullptr || now < found->suspended_until)
    {
        return;
    }
    auto const doublings = std::min(found->failures, max_suspension_doublings);
    ++found->failures;
    found->suspended_until =
        now + std::min(max_suspension, base_suspension * (std::int64_t{1} << doublings));
}

void note_full(pool& pool, std::string_view id, base::mono_time now)
{
    if (auto* const found = find_upstream(pool, id))
    {
        found->suspended_until = std::max(found->suspended_until, now + full_suspension);
    }
}

void note_sample_refused(pool& pool, std::string_view id, base::mono_time now)
{
    if (auto* const found = find_upstream(pool, id))
    {
        found->on_probation = true;
        found->loading_until = std::max(found->loading_until, now + refusal_pause);
    }
}

void note_weights_missing(pool& pool, std::string_view id, base::mono_time now)
{
    if (auto* const found = find_upstream(pool, id))
    {
        found->probe_weights_at = now + weights_probe_interval;
    }
}

void note_sample_started(pool& pool, std::string_view id)
{
    if (auto* const found = find_upstream(pool, id))
    {
        found->on_probation = false;
    }
}

void note_sample_sent(pool& pool, std::string_view id, base::mono_time now,
                      request_work const& work)
{
    note_request_sent(pool, id, now, work);
    if (auto* const found = find_upstream(pool, id))
    {
        ++found->unanswered_samples;
    }
}

void note_sample_answered(pool& pool, std::string_view id)
{
    auto* const found = find_upstream(pool, id);
    if (found != nullptr && found->unanswered_samples > 0)
    {
        --found->unanswered_samples;
    }
}

upstream* find_upstream(pool& pool, std::string_view id)
{
    auto const it = pool.upstreams.find(id);
    return it != pool.upstreams.end() ? &it->second : nullptr;
}

} // namespace gooseberrywood::fleet
