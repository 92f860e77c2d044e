#ifndef GOOSEBERRYWOOD_FLEET_TRY_OUTCOME_HPP
#define GOOSEBERRYWOOD_FLEET_TRY_OUTCOME_HPP

#include <cstdint>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief How one try of a plain request at an upstream ended.
enum class try_outcome : std::uint8_t
{
    /// A whole answer that belongs to the request; also an error of the caller's making.
    answered,
    /// A whole answer that says that the upstream failed.
    failed,
    /// The request certainly did not run.
    not_run,
    /// The connection broke, fell silent or carried something else; the request may have run.
    lost,
};

/// \ingroup fleet
/// \brief What to do after a try.
enum class next_step : std::uint8_t
{
    deliver,
    try_elsewhere,
    /// Further tries still run.
    wait,
    /// Nothing ran and nothing can be tried: a refusal.
    refuse,
    /// It may have run and can't be tried again: an answer that promises nothing.
    give_up,
};

/// \ingroup fleet
/// \brief What is known of a request after a try.
struct try_summary
{
    try_outcome last{};
    bool idempotent = false;
    /// Upstreams on which it ran or may have run.
    std::uint32_t runs = 0;
    /// Most upstreams on which it may run.
    std::uint32_t most_runs = 1;
    /// Tries that are not over.
    std::uint32_t running = 0;
    /// There is time for another try.
    bool has_time = true;
};

/// \ingroup fleet
/// \brief Decides what follows a try.
///
/// Load pattern: a few percent of the answers are lost or spoiled while upstreams are also full.
[[nodiscard]] next_step decide_next_step(try_summary const& of);

} // namespace gooseberrywood::fleet

#endif
