#ifndef GOOSEBERRYWOOD_SETTINGS_PROCESS_SETTINGS_HPP
#define GOOSEBERRYWOOD_SETTINGS_PROCESS_SETTINGS_HPP

#include "base/time.hpp"
#include "settings/agent_address.hpp"
#include "settings/upstream_settings.hpp"

#include <string>
#include <vector>

namespace gooseberrywood::settings
{

/// \ingroup settings
/// \brief Settings of one process, entry or agent.
struct process_settings
{
    std::string host;
    std::string domain;
    /// Entry: where callers connect, `IP:port`. Port 0 lets the system choose; the log names it.
    std::string listen_http;
    /// Agent: where entries connect, `IP:port`.
    std::string listen_wire;
    /// Where `/state`, `/metrics`, `/healthz` and `/readyz` are served, `IP:port`.
    std::string listen_admin;
    /// Base URL of the platform, `http://IP:port`. Empty: no platform; the bundle file is used.
    std::string platform_url;
    /// Operators' public key for bundles, 64 hexadecimal digits.
    std::string bundle_public_key;
    /// A bundle file for use without a platform (trials and tests).
    std::string bundle_file;
    /// Folder for data that outlives the process; empty on hosts without a disk.
    std::string data_folder;
    std::string log_level = "info";
    /// Agent: time after its start from which it vouches that an Idempotency-Key is new. The
    /// default is the longest route timeout of a bundle's usual 10 min and the ledger's margin of
    /// 60 s; less is safe only where no request was sent before this agent started.
    base::duration claim_horizon = std::chrono::seconds(660);
    std::vector<agent_address> agents;
    std::vector<upstream_settings> upstreams;
};

} // namespace gooseberrywood::settings

#endif
