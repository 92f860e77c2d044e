#ifndef GOOSEBERRYWOOD_MEMBERSHIP_AGENT_STATE_HPP
#define GOOSEBERRYWOOD_MEMBERSHIP_AGENT_STATE_HPP

#include "base/time.hpp"
#include "membership/work_state.hpp"

#include <span>
#include <string>

namespace gooseberrywood::membership
{

/// \ingroup membership
/// \brief The agent's own state. The agent uses it to refuse work from entries whose view is
/// outdated.
struct agent_state
{
    std::string domain;
    /// Set by SIGTERM or by a frame of any entry; stays set until the process ends.
    bool leaving = false;
    bool domain_out = false;
    /// When the domain last returned to service; the warm-up of all upstreams restarts then.
    base::mono_time warm_up_start = base::mono_time::min();
};

/// \brief Marks this host as leaving.
void set_leaving(agent_state& agent);

/// \brief Applies the list of failure domains out of service from the configuration in effect.
/// \returns true if the agent's own domain has just returned, so that the warm-up must restart.
bool set_domains_out(agent_state& agent, std::span<std::string const> domains, base::mono_time now);

/// \brief Returns whether new work is accepted, or why not. Running and queued work is still
/// completed.
[[nodiscard]] work_state state_of(agent_state const& agent);

} // namespace gooseberrywood::membership

#endif
