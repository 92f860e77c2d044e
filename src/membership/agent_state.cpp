#include "membership/agent_state.hpp"

#include <algorithm>

namespace gooseberrywood::membership
{

void set_leaving(agent_state& agent)
{
    agent.leaving = true;
}

bool set_domains_out(agent_state& agent, std::span<std::string const> domains, base::mono_time now)
{
    bool const is_out = std::find(domains.begin(), domains.end(), agent.domain) != domains.end();
    bool const returned = agent.domain_out && !is_out;
    agent.domain_out = is_out;
    if (returned)
    {
        agent.warm_up_start = now;
    }
    return returned;
}

work_state state_of(agent_state const& agent)
{
    if (agent.leaving)
    {
        return work_state::leaving;
    }
    return agent.domain_out ? work_state::domain_out : work_state::accepting;
}

} // namespace gooseberrywood::membership
