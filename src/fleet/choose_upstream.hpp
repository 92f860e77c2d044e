#ifndef GOOSEBERRYWOOD_FLEET_CHOOSE_UPSTREAM_HPP
#define GOOSEBERRYWOOD_FLEET_CHOOSE_UPSTREAM_HPP

#include "base/time.hpp"
#include "fleet/configuration.hpp"
#include "fleet/pool.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief What a plain request needs of an upstream.
struct plain_requirements
{
    std::string_view service;
    /// Failure domain of this process; breaks ties.
    std::string_view domain;
    /// Upstreams that earlier tries used.
    std::span<std::string const> tried;
};

/// \ingroup fleet
/// \brief What a sample needs of an upstream.
struct sample_requirements
{
    std::string_view service;
    std::string_view model;
    /// Oldest version of the weights that may generate it.
    std::uint32_t least_version = 0;
    /// The upstream that read the group's prompt, or empty.
    std::string_view preferred;
    /// The upstream that the last try used, or empty.
    std::string_view avoided;
};

/// \ingroup fleet
/// \brief A chosen upstream.
struct chosen_upstream
{
    std::string id;
    std::string address;
    /// Version of the weights that the upstream is told to have, so that it refuses the sample
    /// otherwise; 0 when it is known to be new enough.
    std::uint32_t expected_version = 0;
};

/// \ingroup fleet
/// \brief Chooses the upstream on which a plain request is expected to end first. One that was not
/// measured lately counts as usual, so that a fresh one gets its share and no more.
///
/// Load pattern: a steady stream of short lookups beside reward calls that come in bursts when a
/// step's samples end together.
[[nodiscard]] std::optional<chosen_upstream> choose_plain(pool& from, configuration const& in,
                                                          plain_requirements const& need,
                                                          base::mono_time now);

/// \ingroup fleet
/// \brief Chooses an upstream for a sample: the group's upstream while it has a free slot and is
/// not slow, else the one on which the sample is expected to end first. A sample waits for the
/// upstreams that serve its model while one of them lives; else it takes any that has the weights.
///
/// Load pattern: steps of several trainers arrive at once, each at another process and a multiple
/// of the free slots, while some upstreams are slow, cold or load weights. Processes that chose
/// among the same upstreams would learn of each other's load only by refusals.
[[nodiscard]] std::optional<chosen_upstream> choose_sample(pool& from, configuration const& in,
                                                           sample_requirements const& need,
                                                           base::mono_time now);

/// \ingroup fleet
/// \brief Whether a sample that runs on an upstream should go on elsewhere: the upstream is slow
/// and another one is at least twice as fast. The prompt and the text so far are read again there,
/// which takes far less time than a few slow events.
///
/// Load pattern: some upstreams turn several times slower while the longest samples of a step run.
[[nodiscard]] bool should_move_sample(pool& from, configuration const& in, std::string_view id,
                                      sample_requirements const& need, base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
