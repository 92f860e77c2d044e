#ifndef GOOSEBERRYWOOD_AGENT_UPSTREAM_HPP
#define GOOSEBERRYWOOD_AGENT_UPSTREAM_HPP

#include "agent/execution.hpp"
#include "settings/upstream_settings.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <utility>

namespace gooseberrywood::agent
{

/// \ingroup agent
/// \brief An attempt that waits for its upstream.
struct waiting_attempt
{
    wire::start attempt;
    /// The entry that sent it, see `peer::number`.
    std::uint64_t peer = 0;
};

/// \ingroup agent
/// \brief An attempt that runs, and the entry that waits for it.
struct running_attempt
{
    std::unique_ptr<execution> run;
    std::uint64_t peer = 0;
};

/// \ingroup agent
/// \brief An upstream of this agent with its work.
struct upstream
{
    settings::upstream_settings settings;
    std::deque<waiting_attempt> waiting;
    std::map<base::request_id, running_attempt> running;
};

} // namespace gooseberrywood::agent

#endif
