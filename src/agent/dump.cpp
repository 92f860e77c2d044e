#include "agent/dump.hpp"

#include "admission/dump.hpp"

#include <nlohmann/json.hpp>

namespace gooseberrywood::agent
{

nlohmann::ordered_json dump(agent_process const& agent)
{
    nlohmann::ordered_json out;
    out["role"] = "agent";
    out["host"] = agent.settings.host;
    out["domain"] = agent.settings.domain;
    out["incarnation"] = agent.own.incarnation;
    out["config_version"] = process::version(agent.configuration);
    out["domains_out"] = agent.configuration.domains_out;
    out["announced_changes"] = agent.announcements.pending.size();
    // Whether its frames count as evidence for keyed routes: not for 15 s after its start.
    out["vouches"] = config::standing_of(agent.announcements) == config::standing::witness;
    out["stopping"] = agent.stopping;
    out["leaving"] = agent.self.leaving;
    out["domain_out"] = agent.self.domain_out;
    out["entries"] = nlohmann::ordered_json::array();
    for (auto const& [number, peer] : agent.peers)
    {
        auto const& greeting = peer.connection->peer;
        out["entries"].push_back({{"number", number},
                                  {"host", greeting ? greeting->host : ""},
                                  {"config_version", peer.config_version},
                                  {"unsent_bytes", peer.connection->unsent.size()}});
    }
    auto const now = base::mono_now();
    out["upstreams"] = nlohmann::ordered_json::object();
    for (auto const& [name, where] : agent.upstreams)
    {
        out["upstreams"][name] = {{"route", where->settings.route},
                                  {"is_down", where->is_down},
                                  {"executions", where->executions.size()},
                                  {"admission", admission::dump(where->point, now)}};
    }
    out["claims"] = admission::dump(agent.claims);
    return out;
}

} // namespace gooseberrywood::agent
