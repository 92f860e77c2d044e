#ifndef GOOSEBERRYWOOD_SETTINGS_GATEWAY_SETTINGS_HPP
#define GOOSEBERRYWOOD_SETTINGS_GATEWAY_SETTINGS_HPP

#include "base/time.hpp"
#include "settings/memory_limits.hpp"

#include <cstddef>
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
    /// Whether the whole deployment starts for the first time.
    bool first_start = false;
    /// Listen addresses, `IP:port` each. Without the first two the process serves no callers and
    /// does no work; it only runs because the host must not be empty.
    std::string listen_callers;
    std::string listen_ready;
    std::string listen_admin;
    /// Listen address for other gateways; empty if they don't connect to this one.
    std::string listen_peers;
    std::string store;
    /// Address to which usage is reported; empty if usage is not reported.
    std::string duties;
    /// Maximum time until a withdrawn key is rejected.
    base::duration key_withdrawal = std::chrono::seconds(5);
    /// Minimum time before a replaced leader may lead again.
    base::duration leader_turn = std::chrono::seconds(3);
    base::duration usage_window = std::chrono::seconds(5);
    /// Time from SIGTERM until the process is killed.
    base::duration stop_grace = std::chrono::seconds(8);
    /// Maximum time after the end of a job at which one of its samples may still start.
    base::duration job_end = std::chrono::seconds(3);
    /// Maximum time until a new configuration is in effect.
    base::duration configuration_in_effect = std::chrono::seconds(2);
    /// Maximum time until a leaving upstream gets no more requests.
    base::duration departure_in_effect = std::chrono::seconds(2);
    /// Share of a processor that this process has, and the factor by which it runs faster. Hosts
    /// with a higher product of the two own more jobs.
    double processor_share = 1;
    double processor_cores = 1;
    memory_limits memory;
    /// Number of descriptors that the process may open; 0 for what the system allows it.
    std::size_t max_descriptors = 0;
    /// Maximum of the text of one sample. A result must fit into one value of the store.
    std::size_t max_text_bytes = std::size_t{768} * 1024;
};

} // namespace gooseberrywood::settings

#endif
