#include "membership/state_dump.hpp"

#include <nlohmann/json.hpp>

namespace gooseberrywood::membership
{

std::string_view to_string(work_state state)
{
    switch (state)
    {
    case work_state::accepting:
        return "accepting";
    case work_state::unknown:
        break;
    case work_state::not_connected:
        return "not_connected";
    case work_state::silent:
        return "silent";
    case work_state::leaving:
        return "leaving";
    case work_state::domain_out:
        return "domain_out";
    case work_state::refusing:
        return "refusing";
    }
    return "unknown";
}

nlohmann::json dump(view const& members, base::mono_time now)
{
    auto hosts = nlohmann::json::object();
    for (auto const& [host, known] : members.hosts)
    {
        hosts[host] = {{"domain", known.domain},
                       {"state", to_string(state_of(members, host, now))},
                       {"listed", known.listed},
                       {"incarnation", known.incarnation}};
    }
    return {{"hosts", hosts}, {"domains_out", members.domains_out}};
}

nlohmann::json dump(agent_state const& agent)
{
    return {{"domain", agent.domain}, {"state", to_string(state_of(agent))}};
}

} // namespace gooseberrywood::membership
