#include "fleet/choose_upstream.hpp"

#include "fleet/cost_estimate.hpp"
#include "fleet/rated_upstream.hpp"

#include <algorithm>
#include <limits>
#include <vector>

namespace gooseberrywood::fleet
{

namespace
{

// Capacity of the token bucket that limits requests to a cold upstream.
constexpr double cold_burst = 1;

// Event time that is assumed while no upstream of a service was measured.
constexpr double typical_event_us = 45'000;

// A sample stays with the prompt of its group if that delays it by this much at most. Samples of
// other groups then find the other upstreams free, and their prompts stay cached.
constexpr double max_prompt_delay_us = 100'000;

// A sample leaves slots of fast upstreams to longer ones if that delays it by this much at most.
constexpr double max_yield_delay_us = 300'000;

// Upstreams on which a sample is complete this much later count as equal at most: about as much as
// a refusal by an upstream that other processes have filled.
constexpr double max_equal_delay_us = 150'000;

// A full batch slows each of its requests by this share; while slots are free, its size hardly
// matters.
constexpr double batch_slowdown = 0.05;

// Plain requests beyond the number of slots are queued at the upstream, so that its slots stay
// busy.
constexpr std::uint32_t max_requests_per_slot = 2;

/// \param software_version empty for any.
bool has_version(upstream const& upstream, std::string_view software_version)
{
    return software_version.empty() || upstream.record.software_version == software_version;
}

/// Whether an upstream serves, though it may be suspended for a moment.
bool is_serving(pool const& pool, upstream const& upstream, std::string_view service)
{
    return upstream.record.service == service && !upstream.record.draining && !upstream.leaving &&
           !upstream.missing && !pool.domains_out.contains(upstream.record.domain);
}

bool is_usable(pool const& pool, upstream const& upstream, std::string_view service,
               base::mono_time now)
{
    return is_serving(pool, upstream, service) && now >= upstream.suspended_until;
}

void refill_cold_budget(upstream& upstream, double requests_per_s, std::uint32_t sharing_processes,
                        base::mono_time now)
{
    auto const elapsed = std::chrono::duration<double>(now - upstream.cold_refilled_at).count();
    upstream.cold_refilled_at = now;
    upstream.cold_budget =
        std::min(cold_burst, upstream.cold_budget + elapsed * requests_per_s / sharing_processes);
}

/// Whether the cold budget of the upstream, if it has one, allows another request.
bool allows_request(upstream& upstream, service const* service, pool const& pool,
                    base::mono_time now)
{
    if (service == nullptr || service->cold_requests_per_s <= 0 ||
        now >= upstream.record.cold_until)
    {
        return true;
    }
    refill_cold_budget(upstream, service->cold_requests_per_s, pool.sharing_processes, now);
    return upstream.cold_budget >= 1;
}

bool contains(std::span<std::string const> ids, std::string_view id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// Expected time until one more plain request is answered, relative to other upstreams. Slightly
/// increased for upstreams in other failure domains.
double plain_cost(upstream const& upstream, plain_requirements const& requirements,
                  double median_us, base::mono_time now)
{
    constexpr double remote_factor = 1.05;
    auto const domain_factor = upstream.record.domain == requirements.domain ? 1.0 : remote_factor;
    auto const waiting = upstream.outstanding.sum / std::max(1U, upstream.record.slots);
    return (waiting + requirements.work) * current_us(upstream.answer_time, median_us, now) *
           domain_factor;
}

/// Mean share of the slots that other samples use while a sample runs. Those that have little work
/// left end before it does.
double expected_load(upstream const& upstream, double events_left)
{
    auto const busy = std::min(static_cast<double>(upstream.running),
                               upstream.outstanding.sum / std::max(1.0, events_left));
    return busy / std::max(1U, upstream.record.slots);
}

/// Expected time until one more sample is complete, in microseconds.
double sample_cost(upstream const& upstream, sample_requirements const& requirements,
                   double median_us, base::mono_time now)
{
    auto const event_us = current_us(upstream.event_time, median_us, now) *
                          (1 + batch_slowdown * expected_load(upstream, requirements.events_left));
    return sample_cost_us(requirements.events_left, event_us,
                          upstream.record.id == requirements.preferred);
}

bool has_free_slot(upstream const& upstream)
{
    return upstream.running < upstream.record.slots &&
           (!upstream.on_probation || upstream.unanswered_samples == 0);
}

struct sample_candidate
{
    upstream* target = nullptr;
    /// The list of upstreams, an answer or an announced order shows that the upstream has weights
    /// that are new enough.
    bool is_known_new_enough = false;
    /// Version that the upstream must have to accept the sample; 0 when the list or an answer has
    /// shown that its version is new enough.
    std::uint32_t expected_version = 0;
    /// The upstream is assigned to the sample's model or has no assignment.
    bool is_assigned = true;
    /// The previous run of the sample broke off there.
    bool is_avoided = false;
};

bool has_announced_weights(upstream const& upstream, sample_requirements const& requirements)
{
    return upstream.announced.model == requirements.model &&
           upstream.announced.version >= requirements.least_version;
}

bool is_assigned(pool const& pool, std::string_view id, std::string_view model)
{
    auto const it = pool.shares.find(id);
    return it == pool.shares.end() || it->second == model;
}

std::vector<sample_candidate> sample_candidates(pool& pool, service const* service,
                                                sample_requirements const& requirements,
                                                base::mono_time now)
{
    std::vector<sample_candidate> found;
    bool assigned_available = false;
    for (auto& [id, upstream] : pool.upstreams)
    {
        if (!is_usable(pool, upstream, requirements.service, now) ||
            !has_version(upstream, requirements.software_version))
        {
            continue;
        }
        auto const version = version_of(upstream.record.weights, requirements.model);
        bool const confirmed = version >= requirements.least_version;
        bool const known = confirmed || has_announced_weights(upstream, requirements);
        bool const assigned = is_assigned(pool, id, requirements.model);
        assigned_available =
            assigned_available || (assigned && known && permits_request(upstream.limit, now));
        if (now < upstream.loading_until || !has_free_slot(upstream))
        {
            continue;
        }
        // The list shows new weights with a delay of up to two seconds. An upstream that lags by
        // one version may already have the required one; a single sample is sent to find out.
        bool const may_probe =
            version + 1 == requirements.least_version && upstream.unanswered_samples == 0;
        if (!confirmed && ((!known && !may_probe) || now < upstream.probe_weights_at))
        {
            continue;
        }
        auto const expected = confirmed ? 0
                              : known   ? upstream.announced.version
                                        : requirements.least_version;
        if (allows_request(upstream, service, pool, now))
        {
            found.push_back({&upstream, known, expected, assigned, id == requirements.avoided});
        }
    }
    if (assigned_available)
    {
        std::erase_if(found,
                      [](sample_candidate const& candidate) { return !candidate.is_assigned; });
    }
    return found;
}

chosen_upstream make_choice(upstream_record const& record, std::uint32_t expected_version)
{
    return {record.id,        record.address,   record.service, record.software_version,
            expected_version, record.started_ms};
}

/// Ranks of a candidate for a sample, by importance.
constexpr std::uint8_t avoided_rank = 8;
constexpr std::uint8_t yielded_rank = 4;
constexpr std::uint8_t unpreferred_rank = 2;
constexpr std::uint8_t unconfirmed_rank = 1;

std::vector<rated_upstream> rate_candidates(std::span<sample_candidate const> candidates,
                                            sample_requirements const& requirements,
                                            double median_us, base::mono_time now)
{
    std::vector<rated_upstream> rated;
    rated.reserve(candidates.size());
    for (auto const& candidate : candidates)
    {
        std::uint8_t rank = unpreferred_rank;
        rank |= candidate.is_avoided ? avoided_rank : 0;
        rank |= candidate.is_known_new_enough ? 0 : unconfirmed_rank;
        rated.push_back(
            {candidate.target, rank, sample_cost(*candidate.target, requirements, median_us, now)});
    }
    return rated;
}

/// Whether a candidate is as good as any, but for its cost.
bool has_best_rank(rated_upstream const& rated)
{
    return rated.rank == unpreferred_rank;
}

/// Cost of the fastest upstream that a sample may use if it leaves the slots of faster ones to
/// longer samples.
double least_cost_after_yield(std::span<rated_upstream const> rated, std::uint32_t longer_waiting)
{
    std::vector<rated_upstream> by_cost;
    std::copy_if(rated.begin(), rated.end(), std::back_inserter(by_cost), has_best_rank);
    std::sort(by_cost.begin(), by_cost.end(), is_better);
    if (by_cost.empty())
    {
        return 0;
    }
    auto least = by_cost.front().cost;
    std::uint32_t left_free = 0;
    for (auto const& candidate : by_cost)
    {
        if (candidate.cost > by_cost.front().cost + max_yield_delay_us)
        {
            break;
        }
        least = candidate.cost;
        left_free += candidate.target->record.slots - candidate.target->running;
        if (left_free > longer_waiting)
        {
            break;
        }
    }
    return least;
}

/// Lowers the ranks of upstreams whose slots are left to longer samples, and raises the rank of the
/// preferred one.
void apply_preferences(std::span<rated_upstream> rated, sample_requirements const& requirements)
{
    auto const least_cost = least_cost_after_yield(rated, requirements.longer_waiting);
    for (auto& candidate : rated)
    {
        if (!has_best_rank(candidate))
        {
            continue;
        }
        if (requirements.longer_waiting > 0 && candidate.cost < least_cost)
        {
            candidate.rank |= yielded_rank;
        }
        else if (candidate.target->record.id == requirements.preferred &&
                 candidate.cost <= least_cost + max_prompt_delay_us)
        {
            candidate.rank = 0;
        }
    }
}

} // namespace

bool has_software_version(pool const& pool, std::string_view service,
                          std::string_view software_version)
{
    return std::any_of(pool.upstreams.begin(), pool.upstreams.end(),
                       [&](auto const& entry) {
                           return is_serving(pool, entry.second, service) &&
                                  has_version(entry.second, software_version);
                       });
}

bool is_serving(pool const& pool, incarnation const& chosen, std::string_view service)
{
    auto const it = pool.upstreams.find(chosen.id);
    return it != pool.upstreams.end() && incarnation_of(it->second.record) == chosen &&
           is_serving(pool, it->second, service);
}

std::optional<chosen_upstream> choose_plain(pool& pool, configuration const& configuration,
                                            plain_requirements const& requirements,
                                            base::mono_time now)
{
    auto const* const service = find_service(configuration, requirements.service);
    // Without a measurement only the work is compared.
    auto const known_us = answer_times(pool, requirements.service, now).median_us;
    auto const median_us = known_us > 0 ? known_us : 1;
    std::vector<rated_upstream> candidates;
    for (auto& [id, upstream] : pool.upstreams)
    {
        bool const has_room = upstream.running < upstream.record.slots * max_requests_per_slot;
        if (is_usable(pool, upstream, requirements.service, now) && has_room &&
            has_version(upstream, requirements.software_version) &&
            !contains(requirements.tried, id) && allows_request(upstream, service, pool, now))
        {
            candidates.push_back({&upstream, 0, plain_cost(upstream, requirements, median_us, now),
                                  upstream.record.domain == requirements.domain});
        }
    }
    auto const chosen = choose_rated(candidates, std::numeric_limits<double>::infinity(),
                                     requirements.request_id, now);
    return chosen < candidates.size()
               ? std::optional(make_choice(candidates[chosen].target->record, 0))
               : std::nullopt;
}

std::optional<chosen_upstream> choose_sample(pool& pool, configuration const& configuration,
                                             sample_requirements const& requirements,
                                             base::mono_time now)
{
    auto const candidates = sample_candidates(
        pool, find_service(configuration, requirements.service), requirements, now);
    auto const known_us = event_times(pool, requirements.service, now).median_us;
    auto rated =
        rate_candidates(candidates, requirements, known_us > 0 ? known_us : typical_event_us, now);
    apply_preferences(rated, requirements);
    auto const chosen = choose_rated(rated, max_equal_delay_us, requirements.request_id, now);
    return chosen < rated.size() ? std::optional(make_choice(rated[chosen].target->record,
                                                             candidates[chosen].expected_version))
                                 : std::nullopt;
}

} // namespace gooseberrywood::fleet
