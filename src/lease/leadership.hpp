#ifndef GOOSEBERRYWOOD_LEASE_LEADERSHIP_HPP
#define GOOSEBERRYWOOD_LEASE_LEADERSHIP_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "lease/leadership_options.hpp"
#include "lease/step.hpp"
#include "provider/lease_state.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberrywood::lease
{

/// \ingroup lease
/// \brief State of one candidate in the leader election.
struct leadership
{
    leadership_options options;
    /// Set to false to step down. The process may then no longer act, and the lease is released.
    bool wanted = true;

    /// Fencing number of the current term; 0 if the lease is not held. Every order carries it.
    std::uint64_t fencing = 0;
    /// The process may act until this time. Actions still running then are aborted.
    base::mono_time deadline{};
    /// By this time, all orders of the predecessor have ended.
    base::mono_time orders_allowed_at{};

    /// Name of the holder in the store. Each acquisition uses a new one, so that a lease that is
    /// read back with this name was granted to this acquisition and not to an earlier one.
    std::string holder;
    std::uint64_t acquisitions = 0;
    /// Send time of an acquisition whose outcome is unknown.
    std::optional<base::mono_time> unresolved_since;
    /// Earliest time of the next call.
    base::mono_time next_at{};
    std::optional<step> in_flight;
};

/// \ingroup lease
/// \brief Whether the process may act as the leader. Check it directly before each action, with a
/// time that was read for this check.
[[nodiscard]] bool may_act(leadership const& leader, base::mono_time now);

/// \ingroup lease
/// \brief Whether the leader may send orders: `may_act` holds, and the predecessor's deadline and
/// longest order have passed even if the store's clock granted the lease too early.
[[nodiscard]] bool may_send_orders(leadership const& leader, base::mono_time now);

/// \ingroup lease
/// \brief Call to send to the store now, if any. Its outcome must be reported with the function
/// below that matches its kind; until then, no further call is returned.
[[nodiscard]] std::optional<step> next_step(leadership& leader, base::mono_time now);

/// \ingroup lease
/// \brief Reports the outcome of an acquisition.
/// \param fencing the fencing number, `compare_failed` if another process holds the lease, or an
/// error of the store.
void on_acquired(leadership& leader, base::result<std::uint64_t> const& fencing,
                 base::mono_time now);

/// \ingroup lease
/// \brief Reports the state of the lease that was read back after an unresolved acquisition.
void on_read_back(leadership& leader, base::result<provider::lease_state> const& state,
                  base::mono_time now);

/// \ingroup lease
/// \brief Reports the outcome of a renewal.
/// \param outcome `lease_lost` if the lease is no longer held, or an error of the store.
void on_renewed(leadership& leader, base::result<void> const& outcome, base::mono_time now);

/// \ingroup lease
/// \brief Reports that a release has ended, with whatever outcome.
void on_released(leadership& leader, base::mono_time now);

} // namespace gooseberrywood::lease

#endif
