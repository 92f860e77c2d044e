#ifndef GOOSEBERRYWOOD_FLEET_TRY_OUTCOME_HPP
#define GOOSEBERRYWOOD_FLEET_TRY_OUTCOME_HPP

#include <cstdint>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Outcome of one try of a plain request at an upstream.
enum class try_outcome : std::uint8_t
{
    /// The upstream sent a complete answer to the request; it may report an error of the caller.
    answered,
    /// The upstream sent a complete answer that reports its own failure.
    failed,
    /// The request is known not to have run.
    not_run,
    /// The connection broke, timed out or carried an invalid answer; the request may have run.
    lost,
};

/// \ingroup fleet
/// \brief Action after a try.
enum class next_step : std::uint8_t
{
    /// Send the answer of the try to the caller.
    deliver,
    /// Try the request on another upstream.
    try_elsewhere,
    /// Wait for the other tries in progress.
    wait,
    /// Refuse the request: it has not run, and no further try is possible.
    refuse,
    /// Report an unknown outcome: the request may have run, and it can't be tried again.
    give_up,
};

/// \ingroup fleet
/// \brief State of a request after a try.
struct try_summary
{
    try_outcome last{};
    bool idempotent = false;
    /// Number of upstreams on which the request ran or may have run.
    std::uint32_t runs = 0;
    /// Maximum number of upstreams on which the request may run.
    std::uint32_t max_runs = 1;
    /// Number of tries in progress.
    std::uint32_t running = 0;
    /// Set when there is time for another try.
    bool has_time = true;
};

/// \ingroup fleet
/// \brief Decides on the action after a try.
///
/// Load pattern: a few percent of the answers are lost or corrupted, while upstreams are also full.
[[nodiscard]] next_step decide_next_step(try_summary const& summary);

} // namespace gooseberrywood::fleet

#endif
