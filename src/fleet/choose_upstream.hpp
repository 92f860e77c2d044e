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
/// \brief Requirements of a plain request, that is, of one that is not a sample.
struct plain_requirements
{
    std::string_view service;
    /// Failure domain of this process; upstreams in it are preferred slightly.
    std::string_view domain;
    /// Upstreams that earlier tries of the request used.
    std::span<std::string const> tried;
    /// Software version that must serve the request; empty for any.
    std::string_view software_version;
    /// Selects among upstreams that suit equally.
    std::string_view request_id{};
    /// Expected cost of the request, as a multiple of the service's mean response time.
    double work = 1;
};

/// \ingroup fleet
/// \brief Requirements of a sample.
struct sample_requirements
{
    std::string_view service;
    std::string_view model;
    /// Oldest version of the weights that may generate the sample.
    std::uint32_t least_version = 0;
    /// Software version that began the sample's text and must continue it; empty without text.
    std::string_view software_version;
    /// Upstream that has already processed the prompt of the group, or empty.
    std::string_view preferred;
    /// Upstream on which the previous run broke off, or empty. It is chosen only if no other one
    /// can take the sample.
    std::string_view avoided;
    /// Number of events that the sample is expected to produce yet; that of a typical sample by
    /// default.
    double events_left = 16;
    /// Number of samples of the same kind that wait for an upstream too and are much longer. They
    /// have more use for the slots of the fastest upstreams.
    std::uint32_t longer_waiting = 0;
    /// Selects among upstreams that suit equally.
    std::string_view request_id{};
};

/// \ingroup fleet
/// \brief Upstream chosen for a request or a sample.
struct chosen_upstream
{
    std::string id;
    std::string address;
    std::string service;
    std::string software_version;
    /// Version of the weights that the sample requires, sent along so that an upstream without it
    /// refuses the sample; 0 when the upstream is known to have a version that is new enough.
    std::uint32_t expected_version = 0;
    /// See `upstream_record::started_ms`.
    std::int64_t started_ms = 0;
};

/// \ingroup fleet
/// \brief The incarnation that was chosen.
[[nodiscard]] inline incarnation incarnation_of(chosen_upstream const& chosen)
{
    return {chosen.id, chosen.address, chosen.started_ms};
}

/// \ingroup fleet
/// \brief Chooses the upstream on which a plain request is expected to finish first. An upstream
/// without a recent measurement is rated with the median, so that a new one gets its share of the
/// requests and no more.
///
/// Load pattern: a steady stream of short lookups, and bursts of reward calls when the samples of a
/// step finish together.
[[nodiscard]] std::optional<chosen_upstream> choose_plain(pool& pool,
                                                          configuration const& configuration,
                                                          plain_requirements const& requirements,
                                                          base::mono_time now);

/// \ingroup fleet
/// \brief Chooses the upstream with a free slot on which a sample is expected to be complete first.
/// The preferred one is chosen while that costs the sample little time. If much longer samples
/// wait, the sample leaves as many slots of the fastest upstreams to them, unless that costs it
/// much. While an upstream that is assigned to the sample's model is available, the sample waits
/// for those; otherwise it may use any upstream that has the weights.
///
/// Load pattern: a few samples of a step are many times as long as the others, and a step counts
/// only once they are complete. On a slow upstream, a sample loses time in proportion to its
/// length.
///
/// Load pattern: steps of several trainers arrive at once, each at a different process and each
/// with several times as many samples as there are free slots, while some upstreams are slow, cold
/// or loading weights. If all processes chose among the same upstreams, they would learn of each
/// other's load only through refusals.
[[nodiscard]] std::optional<chosen_upstream> choose_sample(pool& pool,
                                                           configuration const& configuration,
                                                           sample_requirements const& requirements,
                                                           base::mono_time now);

/// \ingroup fleet
/// \brief Whether an upstream of a software version serves, so that a text of that version can be
/// continued. It may be busy.
[[nodiscard]] bool has_software_version(pool const& pool, std::string_view service,
                                        std::string_view software_version);

/// \ingroup fleet
/// \brief Whether an incarnation still is an upstream of a service and takes requests, though it
/// may be suspended for a moment.
[[nodiscard]] bool is_serving(pool const& pool, incarnation const& chosen,
                              std::string_view service);

} // namespace gooseberrywood::fleet

#endif
