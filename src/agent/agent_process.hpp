#ifndef GOOSEBERRYWOOD_AGENT_AGENT_PROCESS_HPP
#define GOOSEBERRYWOOD_AGENT_AGENT_PROCESS_HPP

#include "admission/claims.hpp"
#include "agent/peer.hpp"
#include "agent/upstream.hpp"
#include "base/event_source.hpp"
#include "base/metrics.hpp"
#include "base/result.hpp"
#include "bundle/bundle.hpp"
#include "config/announcements.hpp"
#include "http/server.hpp"
#include "membership/agent_state.hpp"
#include "process/configuration.hpp"
#include "process/main_loop.hpp"
#include "settings/process_settings.hpp"
#include "wire/listener.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gooseberrywood::agent
{

/// \ingroup agent
/// \brief All state of an agent.
struct agent_process
{
    settings::process_settings settings;
    process::configuration configuration;
    config::announcements announcements;
    membership::agent_state self;
    wire::hello own;
    base::mono_time started_at{};
    process::main_loop loop;
    base::metrics metrics;
    std::unique_ptr<wire::listener> listener;
    std::unique_ptr<http::server> admin;
    base::object_ptr<SoupSession> session;
    std::map<std::uint64_t, peer> peers;
    std::uint64_t next_peer = 1;
    std::map<std::string, std::unique_ptr<upstream>, std::less<>> upstreams;
    admission::claims claims;
    base::event_source tick;
    bool stopping = false;
};

/// \ingroup agent
/// \brief Opens the ports of an agent.
/// \param bundle the content of a bundle file; without one the entries supply the configuration.
[[nodiscard]] base::result<std::unique_ptr<agent_process>>
make_agent(settings::process_settings settings, std::optional<bundle::bundle> bundle);

/// \ingroup agent
/// \brief Runs until the process was told to stop and its last attempt has ended.
void run(agent_process& agent);

/// \ingroup agent
/// \brief Ends the process when it is stopping and has nothing left to do.
void stop_if_idle(agent_process& agent);

} // namespace gooseberrywood::agent

#endif
