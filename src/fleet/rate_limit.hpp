#ifndef GOOSEBERRYWOOD_FLEET_RATE_LIMIT_HPP
#define GOOSEBERRYWOOD_FLEET_RATE_LIMIT_HPP

#include "base/time.hpp"

#include <optional>
#include <vector>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Rate limit that an upstream states in its answers, and the permits of this process to
/// send requests within it. The limit holds for all processes together, so a process asks for
/// permits, one for each request; see `permit_bucket`.
struct rate_limit
{
    /// Requests per second from all processes together; absent when the upstream states no limit.
    std::optional<double> requests_per_s;
    /// When the answer arrived that stated this last.
    base::mono_time stated_at{};
    /// Times at which the permits expire, in the order in which they were granted.
    std::vector<base::mono_time> permits;
    /// Set when the upstream would have been chosen with a permit.
    bool permit_wanted = false;
    /// No permit is asked for before this time: a request for one is under way, or was denied.
    base::mono_time ask_at{};
};

/// \ingroup fleet
/// \brief Records what an answer states about the limit. Answers may arrive out of order: only an
/// answer to a request that was sent after the last statement arrived can raise or remove the
/// limit.
/// \param stated requests per second; nothing when the answer states no limit.
/// \param sent_at when the answered request was sent.
/// \returns whether the limit has changed.
bool note_statement(rate_limit& limit, std::optional<double> stated, base::mono_time sent_at,
                    base::mono_time now);

/// \ingroup fleet
/// \brief Whether a request may be sent now: there is no limit, or a permit for it.
[[nodiscard]] bool permits_request(rate_limit const& limit, base::mono_time now);

/// \ingroup fleet
/// \brief Uses up one permit, the one that expires first. Does nothing when there is no limit.
void use_permit(rate_limit& limit, base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
