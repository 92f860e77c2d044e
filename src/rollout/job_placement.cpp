#include "rollout/job_placement.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::rollout
{

namespace
{

// How many times as much processor time a sample must get elsewhere for a job to move: from a host
// with time to spare, and from a busy one.
constexpr double worthwhile = 2.5;
constexpr double worthwhile_when_busy = 1.2;

// A running sample needs about a thousandth of a core; a third of them run.
constexpr double busy_samples_per_core = 400;

// Hosts with less than this part of the strongest host's processor time take jobs over last.
constexpr double strong_part = 0.5;

double samples_per_core(owner_candidate const& on, std::size_t more)
{
    constexpr double least_processors = 1e-3;
    return static_cast<double>(on.open_samples + more) / std::max(on.processors, least_processors);
}

} // namespace

std::size_t place_job(std::span<owner_candidate const> candidates, std::size_t own,
                      std::size_t samples)
{
    std::size_t best = own;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (samples_per_core(candidates[i], samples) < samples_per_core(candidates[best], samples))
        {
            best = i;
        }
    }
    auto const here = samples_per_core(candidates[own], samples);
    auto const needed = here > busy_samples_per_core ? worthwhile_when_busy : worthwhile;
    bool const moves = samples_per_core(candidates[best], samples) * needed < here;
    return moves ? best : own;
}

std::int64_t take_over_rank(std::span<owner_candidate const> candidates, std::size_t own,
                            std::string_view job_id)
{
    double strongest = 0;
    for (auto const& one : candidates)
    {
        strongest = std::max(strongest, one.processors);
    }
    auto const turn = [&](owner_candidate const& of)
    {
        bool const is_weak = of.processors < strong_part * strongest;
        return std::pair(is_weak, base::hash64(of.host, base::hash64(job_id)));
    };
    auto const own_turn = turn(candidates[own]);
    return std::count_if(candidates.begin(), candidates.end(),
                         [&](owner_candidate const& one) { return turn(one) < own_turn; });
}

} // namespace gooseberrywood::rollout
