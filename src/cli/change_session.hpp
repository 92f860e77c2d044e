#ifndef GOOSEBERRYWOOD_CLI_CHANGE_SESSION_HPP
#define GOOSEBERRYWOOD_CLI_CHANGE_SESSION_HPP

#include "base/event_source.hpp"
#include "cli/change_plan.hpp"
#include "config/apply_round.hpp"
#include "entry/agent_link.hpp"
#include "provider/services.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrywood::cli::detail
{

/// Carries out a `config::apply_round`: connections to the agents, calls to the store, timers.
struct change_session
{
    provider::services platform;
    config::apply_round round;
    std::vector<std::string> first_domains;
    /// Receives a line about each step.
    std::function<void(std::string const&)> progress;
    std::vector<std::shared_ptr<entry::agent_link>> links;
    /// The store's revision of the record that the round starts from: the guard of the write.
    std::uint64_t revision = 0;
    /// The last step of the round that was acted on.
    std::uint64_t handled_step = 0;
    base::event_source ticks;
    base::event_source read_again;
};

/// Starts a round against the hosts of the platform's list.
[[nodiscard]] std::shared_ptr<change_session>
start_session(provider::services platform, change_plan plan,
              std::vector<provider::host_info> const& hosts,
              std::function<void(std::string const&)> progress);

/// Whether the round is finished and its last frames have been written.
[[nodiscard]] bool is_done(change_session const& of);

/// Hosts of agents without a connection.
[[nodiscard]] std::vector<std::string> unreachable_agents(change_session const& of);

} // namespace gooseberrywood::cli::detail

#endif
