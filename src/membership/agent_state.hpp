#ifndef GOOSEBERRYWOOD_MEMBERSHIP_AGENT_STATE_HPP
#define GOOSEBERRYWOOD_MEMBERSHIP_AGENT_STATE_HPP

#include "base/time.hpp"
#include "membership/work_state.hpp"

#include <span>
#include <string>

namespace gooseberrywood::membership
{

/// \ingroup membership
/// \brief The agent's knowledge of itself. It refuses work that an entry sends in ignorance.
struct agent_state
{
    std::string domain;
    /// Set by SIGTERM or when any entry says so; stays until the process ends.
    bool leaving = false;
    bool domain_out = false;
    /// When the domain last returned; the ramps of all upstreams restart there.
    base::mono_time fresh_since = base::mono_time::min();
};

/// \brief Notes that this host is leaving.
void set_leaving(agent_state& agent);

/// \brief Takes over the failure domains out of the configuration that has come into effect.
/// \returns true when the own domain has just returned, so that the ramps restart.
bool set_domains_out(agent_state& agent, std::span<std::string const> domains, base::mono_time now);

/// \brief Whether new work is accepted, or why not. Work that runs or waits already is finished.
[[nodiscard]] work_state state_of(agent_state const& agent);

} // namespace gooseberrywood::membership

#endif
