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
/// \brief One process's part in the leadership.
struct leadership
{
    leadership_options options;
    /// Set to false to step down: the process may no longer act, and the lease is released.
    bool wanted = true;

    /// Number of the current term; 0 when the lease is not held. Every order carries it.
    std::uint64_t fencing = 0;
    /// The process may act before this; what it began is aborted then.
    base::mono_time deadline{};
    /// By then nothing that the predecessor began goes on.
    base::mono_time start_at{};

    /// Name under which the lease is held. Each acquisition has a new one, so that a lease read
    /// back under it was granted to this acquisition and not to an earlier one.
    std::string holder;
    std::uint64_t acquisitions = 0;
    /// Set while it is unknown whether an acquisition sent then was granted.
    std::optional<base::mono_time> unresolved_since;
    /// No step is sent before this.
    base::mono_time next_at{};
    std::optional<step> in_flight;
};

/// \ingroup lease
/// \brief Whether the process may act as the leader. Check it directly before each act, with the
/// time read for this check.
[[nodiscard]] bool may_act(leadership const& of, base::mono_time now);

/// \ingroup lease
/// \brief Whether a leader may also send orders: `may_act`, and the predecessor's deadline and
/// longest order are over even if the store's clock let this process in too early.
[[nodiscard]] bool safe_to_start(leadership const& of, base::mono_time now);

/// \ingroup lease
/// \brief The call to send now, if any. Its outcome must be reported with the function below that
/// fits its kind; until then there is no further step.
[[nodiscard]] std::optional<step> next_step(leadership& of, base::mono_time now);

/// \ingroup lease
/// \param fencing the number, `compare_failed` when another process holds the lease, or an error of
/// the store.
void on_acquired(leadership& of, base::result<std::uint64_t> const& fencing, base::mono_time now);

/// \ingroup lease
void on_read_back(leadership& of, base::result<provider::lease_state> const& state,
                  base::mono_time now);

/// \ingroup lease
/// \param outcome `lease_lost` when the lease is not held any more, or an error of the store.
void on_renewed(leadership& of, base::result<void> const& outcome, base::mono_time now);

/// \ingroup lease
void on_released(leadership& of, base::mono_time now);

} // namespace gooseberrywood::lease

#endif
