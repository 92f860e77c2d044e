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
    /// Where other gateways connect; empty when they don't.
    std::string listen_peers;
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
    /// No sample of a job starts later than this after the job was ended.
    base::duration job_end = std::chrono::seconds(3);
    /// A new configuration is in effect within this time.
    base::duration configuration_in_effect = std::chrono::seconds(2);
    /// An upstream that leaves gets no more requests within this time.
    base::duration departure_in_effect = std::chrono::seconds(2);
    /// Share of a processor that this process has, and how many times as fast it runs. Hosts with
    /// more of it own more jobs.
    double processor_share = 1;
    double processor_cores = 1;
};

} // namespace gooseberrywood::settings

#endif
