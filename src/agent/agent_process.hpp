#ifndef GOOSEBERRYWOOD_AGENT_AGENT_PROCESS_HPP
#define GOOSEBERRYWOOD_AGENT_AGENT_PROCESS_HPP

#include "agent/peer.hpp"
#include "agent/upstream.hpp"
#include "base/result.hpp"
#include "bundle/bundle.hpp"
#include "http/server.hpp"
#include "process/main_loop.hpp"
#include "settings/process_settings.hpp"
#include "wire/listener.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace gooseberrywood::agent
{

/// \ingroup agent
/// \brief All state of an agent.
struct agent_process
{
    settings::process_settings settings;
    bundle::bundle bundle;
    wire::hello own;
    process::main_loop loop;
    std::unique_ptr<wire::listener> listener;
    std::unique_ptr<http::server> admin;
    base::object_ptr<SoupSession> session;
    std::map<std::uint64_t, peer> peers;
    std::uint64_t next_peer = 1;
    std::map<std::string, upstream, std::less<>> upstreams;
    bool stopping = false;
};

/// \ingroup agent
/// \brief Opens the ports of an agent.
[[nodiscard]] base::result<std::unique_ptr<agent_process>>
make_agent(settings::process_settings settings, bundle::bundle bundle);

/// \ingroup agent
/// \brief Runs until the process was told to stop and its last attempt has ended.
void run(agent_process& agent);

} // namespace gooseberrywood::agent

#endif
