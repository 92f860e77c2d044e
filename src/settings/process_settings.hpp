#ifndef GOOSEBERRYWOOD_SETTINGS_PROCESS_SETTINGS_HPP
#define GOOSEBERRYWOOD_SETTINGS_PROCESS_SETTINGS_HPP

#include "base/time.hpp"
#include "settings/agent_address.hpp"
#include "settings/memory_limits.hpp"
#include "settings/upstream_settings.hpp"

#include <string>
#include <vector>

namespace gooseberrywood::settings
{

/// \ingroup settings
/// \brief Settings of an entry or agent process.
struct process_settings
{
    std::string host;
    std::string domain;
    /// Entry: listen address for callers, `IP:port`. Port 0: chosen by the system and logged.
    std::string listen_http;
    /// Agent: listen address for entries, `IP:port`.
    std::string listen_wire;
    /// Listen address of `/state`, `/metrics`, `/healthz` and `/readyz`, `IP:port`.
    std::string listen_admin;
    /// Base URL of the platform, `http://IP:port`. If empty, the bundle file is used instead.
    std::string platform_url;
    /// Public key that verifies bundle signatures, 64 hexadecimal digits.
    std::string bundle_public_key;
    /// Path of a bundle file for use without a platform, in trials and tests.
    std::string bundle_file;
    /// Folder for persistent data; empty on hosts without a disk.
    std::string data_folder;
    std::string log_level = "info";
    /// Agent: time after its start from which it can confirm that an Idempotency-Key is new. The
    /// default is the longest route timeout of a usual bundle, 10 min, plus the ledger's margin of
    /// 60 s. A lower value is safe only if no request was sent before this agent started.
    base::duration claim_horizon = std::chrono::seconds(660);
    memory_limits memory;
    std::vector<agent_address> agents;
    std::vector<upstream_settings> upstreams;
};

} // namespace gooseberrywood::settings

#endif
