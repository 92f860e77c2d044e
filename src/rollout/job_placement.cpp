#include "rollout/job_placement.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <vector>

namespace gooseberrywood::rollout
{

namespace
{

// Load above which a host counts as busy: a running sample needs about 0.005 cores, and a third of
// the samples of a job run at once.
constexpr double busy_samples_per_core = 550;

// Hosts with less than this fraction of the strongest host's processor time are chosen last.
constexpr double strong_host_fraction = 0.5;

double samples_per_core(owner_candidate const& candidate, std::size_t added_samples)
{
    // Avoids a division by zero for hosts that announce no processor time.
    constexpr double min_processors = 1e-3;
    return static_cast<double>(candidate.open_samples + added_samples) /
           std::max(candidate.processors, min_processors);
}

double max_processors(std::span<owner_candidate const> candidates)
{
    double max = 0;
    for (auto const& candidate : candidates)
    {
        max = std::max(max, candidate.processors);
    }
    return max;
}

/// Sort key of the candidates; the smallest one is chosen.
struct preference
{
    bool is_busy = false;
    bool is_weak = false;
    bool is_not_preferred = false;
    /// Samples per core of a busy host, so that the least loaded one comes first; otherwise 0.
    double busy_load = 0;
    std::uint64_t hash = 0;

    friend auto operator<=>(preference const&, preference const&) = default;
};

bool is_strong(owner_candidate const& candidate, double strongest)
{
    return candidate.processors >= strong_host_fraction * strongest;
}

/// Rendezvous hash of a host for a trainer's key.
std::uint64_t rank(owner_candidate const& candidate, std::string_view key)
{
    return base::hash64(candidate.host, base::hash64(key));
}

/// The host that gets a trainer's jobs while it has processor time to spare: the first strong host
/// in the trainer's hash order that no trainer earlier in the list prefers. When all strong hosts
/// are taken, they become available again.
std::string_view preferred_host(std::span<owner_candidate const> candidates, double strongest,
                                std::string_view key, std::span<std::string const> all_keys)
{
    std::vector<owner_candidate const*> available;
    for (auto const& trainer_key : all_keys)
    {
        if (available.empty())
        {
            for (auto const& candidate : candidates)
            {
                if (is_strong(candidate, strongest))
                {
                    available.push_back(&candidate);
                }
            }
        }
        auto const first =
            std::min_element(available.begin(), available.end(),
                             [&](owner_candidate const* a, owner_candidate const* b)
                             { return rank(*a, trainer_key) < rank(*b, trainer_key); });
        if (trainer_key == key)
        {
            return (*first)->host;
        }
        available.erase(first);
    }
    return {};
}

} // namespace

std::size_t place_job(std::span<owner_candidate const> candidates, std::size_t samples,
                      std::string_view key, std::span<std::string const> all_keys)
{
    auto const strongest = max_processors(candidates);
    auto const preferred = preferred_host(candidates, strongest, key, all_keys);
    auto const preference_of = [&](owner_candidate const& candidate)
    {
        auto const load = samples_per_core(candidate, samples);
        bool const is_busy = load > busy_samples_per_core;
        return preference{is_busy, !is_strong(candidate, strongest), candidate.host != preferred,
                          is_busy ? load : 0, rank(candidate, key)};
    };
    auto const best = std::min_element(candidates.begin(), candidates.end(),
                                       [&](owner_candidate const& a, owner_candidate const& b)
                                       { return preference_of(a) < preference_of(b); });
    return static_cast<std::size_t>(best - candidates.begin());
}

} // namespace gooseberrywood::rollout
