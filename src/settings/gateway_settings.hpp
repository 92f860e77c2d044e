#ifndef GOOSEBERRYWOOD_SETTINGS_GATEWAY_SETTINGS_HPP
#define GOOSEBERRYWOOD_SETTINGS_GATEWAY_SETTINGS_HPP

#include "base/time.hpp"

#include <string>

namespace gooseberrywood::settings
{

/// \ingroup settings
/// \brief Settings of a gateway.
struct gateway_settings
{
    /// Unique name of this host.
    std::string host;
    /// Failure domain of this host.
    std::string domain;
    /// The whole deployment starts for the first time.
    bool first_start = false;
    /// `IP:port` each. Without the first two the process has no callers and no work: it only
    /// stands on a host that must not be empty.
    std::string listen_callers;
    std::string listen_ready;
    std::string listen_admin;
    std::string store;
    /// Where usage is reported; empty when it is not.
    std::string duties;
    /// A withdrawn key must stop working within this time.
    base::duration key_withdrawal = std::chrono::seconds(5);
    /// A leader that was replaced may not lead again within this time.
    base::duration leader_turn = std::chrono::seconds(3);
    base::duration usage_window = std::chrono::seconds(5);
    /// The process is killed this long after SIGTERM.
    base::duration stop_grace = std::chrono::seconds(8);
};

} // namespace gooseberrywood::settings

#endif
