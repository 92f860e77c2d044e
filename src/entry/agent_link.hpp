#ifndef GOOSEBERRYWOOD_ENTRY_AGENT_LINK_HPP
#define GOOSEBERRYWOOD_ENTRY_AGENT_LINK_HPP

#include "base/event_source.hpp"
#include "routing/agent_session.hpp"
#include "wire/connection.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace gooseberrywood::entry
{

/// \ingroup entry
/// \brief What the owner of a link supplies.
struct link_handlers
{
    std::function<void(wire::frame&)> on_frame;
    std::function<void(base::error const&)> on_lost;
    std::function<wire::frame_stamp()> stamp;
};

/// \ingroup entry
/// \brief The connection to one agent, opened again whenever it is lost.
struct agent_link : std::enable_shared_from_this<agent_link>
{
    std::string host;
    /// `IP:port`.
    std::string address;
    wire::hello own;
    link_handlers handlers;
    std::shared_ptr<wire::connection> connection;
    base::event_source retry;
    std::uint32_t failures = 0;
    /// The agent's place in the upstream table since its hello.
    std::optional<routing::agent_session> session;
    /// Requests with an attempt at this agent.
    std::unordered_set<base::request_id> requests;
};

/// \ingroup entry
/// \brief Opens the connection and keeps it open until the link is dropped.
[[nodiscard]] std::shared_ptr<agent_link> make_link(std::string_view host, std::string_view address,
                                                    wire::hello const& own, link_handlers handlers);

/// \ingroup entry
/// \brief Whether the agent has greeted on the open connection.
[[nodiscard]] bool is_up(agent_link const& link);

} // namespace gooseberrywood::entry

#endif
