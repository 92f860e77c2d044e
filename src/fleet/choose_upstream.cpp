#include "fleet/choose_upstream.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace gooseberrywood::fleet
{

namespace
{

// Capacity of the token bucket that limits requests to a cold upstream.
constexpr double cold_burst = 1;

// An upstream is slow when its time per event exceeds the median by this factor.
constexpr double slow_factor = 1.6;

/// Median of the known means of a service's upstreams. Returns 1 if no mean is known, so that only
/// the loads are compared.
double median_us(pool const& pool, std::string_view service, recent_mean upstream::*mean)
{
    std::vector<double> known;
    for (auto const& [id, upstream] : pool.upstreams)
    {
        if (upstream.record.service == service && (upstream.*mean).us > 0)
        {
            known.push_back((upstream.*mean).us);
        }
    }
    if (known.empty())
    {
        return 1;
    }
    auto const middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

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

/// The mean of an upstream, or the median while the mean is not known.
double mean_or_median_us(recent_mean const& mean, double median_us)
{
    return mean.us > 0 ? mean.us : median_us;
}

/// Requests per slot of an upstream that gets this many more requests.
double load_with(upstream const& upstream, std::uint32_t added)
{
    return static_cast<double>(upstream.running + added) / std::max(1U, upstream.record.slots);
}

/// Expected response time of one more request, slightly increased for upstreams in other failure
/// domains.
double plain_cost(upstream const& upstream, std::string_view domain, double median_us)
{
    constexpr double remote_factor = 1.05;
    auto const domain_factor = upstream.record.domain == domain ? 1.0 : remote_factor;
    return mean_or_median_us(upstream.answer_time, median_us) * load_with(upstream, 1) *
           domain_factor;
}

/// Expected time between two events of one more sample.
double sample_cost(upstream const& upstream, double median_us)
{
    // A larger batch slows each of its requests only a little, so load counts less than speed.
    constexpr double load_weight = 0.5;
    return mean_or_median_us(upstream.event_time, median_us) *
           (1.0 + load_weight * load_with(upstream, 0));
}

bool has_free_slot(upstream const& upstream)
{
    return upstream.running < upstream.record.slots &&
           (!upstream.on_probation || upstream.unanswered_samples == 0);
}

/// Chooses the best candidate that needs no permit or has one. Marks a better one that lacks only a
/// permit, so that this process asks for a permit.
/// \param upstream_of maps a candidate to its upstream.
/// \returns null when there is no candidate that may be chosen.
template <class Candidate, class UpstreamOf, class IsBetter>
Candidate const* choose_permitted(std::vector<Candidate> const& candidates,
                                  UpstreamOf const& upstream_of, IsBetter const& is_better,
                                  base::mono_time now)
{
    Candidate const* permitted = nullptr;
    Candidate const* without_permit = nullptr;
    for (auto const& candidate : candidates)
    {
        bool const may_send = permits_request(upstream_of(candidate).limit, now);
        auto const*& best = may_send ? permitted : without_permit;
        if (best == nullptr || is_better(candidate, *best))
        {
            best = &candidate;
        }
    }
    if (without_permit != nullptr &&
        (permitted == nullptr || is_better(*without_permit, *permitted)))
    {
        upstream_of(*without_permit).limit.permit_wanted = true;
    }
    return permitted;
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

chosen_upstream make_choice(sample_candidate const& candidate)
{
    return make_choice(candidate.target->record, candidate.expected_version);
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

bool should_move_sample(pool& pool, configuration const& configuration, std::string_view id,
                        sample_requirements const& requirements, base::mono_time now)
{
    constexpr double min_speedup = 2;
    auto const* const current = find_upstream(pool, id);
    auto const median = median_us(pool, requirements.service, &upstream::event_time);
    if (current == nullptr || current->event_time.us < slow_factor * median)
    {
        return false;
    }
    // A running sample moves only to an upstream whose weights are known to be new enough.
    auto const alternative = choose_sample(pool, configuration, requirements, now);
    if (!alternative || alternative->expected_version != 0)
    {
        return false;
    }
    auto const* const target = find_upstream(pool, alternative->id);
    return current->event_time.us > min_speedup * mean_or_median_us(target->event_time, median);
}

std::optional<chosen_upstream> choose_plain(pool& pool, configuration const& configuration,
                                            plain_requirements const& requirements,
                                            base::mono_time now)
{
    auto const* const service = find_service(configuration, requirements.service);
    auto const median = median_us(pool, requirements.service, &upstream::answer_time);
    std::vector<upstream*> candidates;
    for (auto& [id, upstream] : pool.upstreams)
    {
        bool const has_room = upstream.running < upstream.record.slots * max_requests_per_slot;
        if (is_usable(pool, upstream, requirements.service, now) && has_room &&
            has_version(upstream, requirements.software_version) &&
            !contains(requirements.tried, id) && allows_request(upstream, service, pool, now))
        {
            candidates.push_back(&upstream);
        }
    }
    auto const is_better = [&](upstream const* a, upstream const* b)
    {
        return plain_cost(*a, requirements.domain, median) <
               plain_cost(*b, requirements.domain, median);
    };
    auto* const best = choose_permitted<upstream*>(
        candidates, [](upstream* candidate) -> upstream& { return *candidate; }, is_better, now);
    return best != nullptr ? std::optional(make_choice((*best)->record, 0)) : std::nullopt;
}

std::optional<chosen_upstream> choose_sample(pool& pool, configuration const& configuration,
                                             sample_requirements const& requirements,
                                             base::mono_time now)
{
    auto const candidates = sample_candidates(
        pool, find_service(configuration, requirements.service), requirements, now);
    auto const median = median_us(pool, requirements.service, &upstream::event_time);
    auto const is_preferred = [&](sample_candidate const& candidate)
    {
        bool const is_slow = candidate.target->event_time.us > slow_factor * median;
        return candidate.is_known_new_enough &&
               candidate.target->record.id == requirements.preferred && !is_slow;
    };
    auto const rank_of = [&](sample_candidate const& candidate)
    {
        return std::tuple(candidate.is_avoided, !is_preferred(candidate),
                          !candidate.is_known_new_enough, sample_cost(*candidate.target, median));
    };
    auto const* const best = choose_permitted<sample_candidate>(
        candidates,
        [](sample_candidate const& candidate) -> upstream& { return *candidate.target; },
        [&](sample_candidate const& a, sample_candidate const& b)
        { return rank_of(a) < rank_of(b); },
        now);
    return best != nullptr ? std::optional(make_choice(*best)) : std::nullopt;
}

} // namespace gooseberrywood::fleet
