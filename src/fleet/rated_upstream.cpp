#include "fleet/rated_upstream.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <vector>

namespace gooseberrywood::fleet
{

namespace
{

constexpr double near_share = 0.1;

// Differs from the seeds of other hashes of request ids, on which the choice must not depend.
constexpr std::uint64_t hash_seed = 5;

std::uint32_t weight_of(upstream const& upstream)
{
    return upstream.running < upstream.record.slots ? upstream.record.slots - upstream.running : 1;
}

/// Index of the best candidate that has, or lacks, a permit.
std::size_t find_best(std::span<rated_upstream const> candidates, bool permitted,
                      base::mono_time now)
{
    auto best = candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (permits_request(candidates[i].target->limit, now) == permitted &&
            (best == candidates.size() || is_better(candidates[i], candidates[best])))
        {
            best = i;
        }
    }
    return best;
}

/// Indices of the candidates that count as equal to the best one; local ones only, if there are.
std::vector<std::size_t> find_equals(std::span<rated_upstream const> candidates,
                                     rated_upstream const& best, double max_extra_cost,
                                     base::mono_time now)
{
    auto const max_cost = best.cost + std::min(best.cost * near_share, max_extra_cost);
    std::vector<std::size_t> equals;
    bool has_local = false;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const& candidate = candidates[i];
        if (candidate.rank == best.rank && candidate.cost <= max_cost &&
            permits_request(candidate.target->limit, now))
        {
            equals.push_back(i);
            has_local = has_local || candidate.is_local;
        }
    }
    if (has_local)
    {
        std::erase_if(equals, [&](std::size_t i) { return !candidates[i].is_local; });
    }
    return equals;
}

std::size_t select_by_hash(std::span<rated_upstream const> candidates,
                           std::span<std::size_t const> equals, std::string_view request_id)
{
    std::uint64_t slots = 0;
    for (auto const i : equals)
    {
        slots += weight_of(*candidates[i].target);
    }
    auto slot = base::hash64(request_id, hash_seed) % slots;
    for (auto const i : equals)
    {
        auto const weight = weight_of(*candidates[i].target);
        if (slot < weight)
        {
            return i;
        }
        slot -= weight;
    }
    return equals.back();
}

} // namespace

std::size_t choose_rated(std::span<rated_upstream const> candidates, double max_extra_cost,
                         std::string_view request_id, base::mono_time now)
{
    auto const none = candidates.size();
    auto const best = find_best(candidates, true, now);
    auto const without_permit = find_best(candidates, false, now);
    if (without_permit != none &&
        (best == none || is_better(candidates[without_permit], candidates[best])))
    {
        candidates[without_permit].target->limit.permit_wanted = true;
    }
    if (best == none)
    {
        return none;
    }
    auto const equals = find_equals(candidates, candidates[best], max_extra_cost, now);
    return equals.size() <= 1 ? (equals.empty() ? best : equals.front())
                              : select_by_hash(candidates, equals, request_id);
}

} // namespace gooseberrywood::fleet
