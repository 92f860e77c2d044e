#ifndef GOOSEBERRYWOOD_ENTRY_AGENTS_HPP
#define GOOSEBERRYWOOD_ENTRY_AGENTS_HPP

#include "entry/entry_process.hpp"

namespace gooseberrywood::entry
{

/// \brief Opens the connection to an agent, unless there is one to this address.
void add_agent(entry_process& entry, std::string const& host, std::string const& address);

/// \brief Drops the links to agents that neither the platform's list nor the settings name, once
/// they have no request left.
void remove_unlisted_agents(entry_process& entry);

/// \brief Sends the claims of a request that has entered its claim round, or acts on its outcome.
void begin_claim(entry_process& entry, request& which);

} // namespace gooseberrywood::entry

#endif
