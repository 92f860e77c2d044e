#ifndef GOOSEBERRYWOOD_GATEWAY_GATEWAY_HPP
#define GOOSEBERRYWOOD_GATEWAY_GATEWAY_HPP

#include "base/event_source.hpp"
#include "base/metrics.hpp"
#include "base/result.hpp"
#include "duty/candidate.hpp"
#include "duty/usage_windows.hpp"
#include "duty/weights_plan.hpp"
#include "fleet/configuration.hpp"
#include "fleet/pool.hpp"
#include "gateway/list_exchange.hpp"
#include "gateway/owned_job.hpp"
#include "gateway/peer_connections.hpp"
#include "gateway/poller.hpp"
#include "gateway/process_lease.hpp"
#include "gateway/routed_request.hpp"
#include "gateway/sample_run.hpp"
#include "gateway/shared_view.hpp"
#include "gateway/store_relay.hpp"
#include "http/server.hpp"
#include "process/main_loop.hpp"
#include "rollout/member.hpp"
#include "settings/gateway_settings.hpp"
#include "store/client.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Results of a job that another process owns, as far as they were read. They never change.
struct result_cache
{
    std::vector<rollout::sample_result> results;
    std::string last_key;
    base::mono_time expires_at{};
};

/// \ingroup gateway
/// \brief The part of the leader that reports usage.
struct usage_reporting
{
    /// Last window whose report was accepted.
    std::int64_t last_reported_window = 0;
    bool report_pending = false;
    bool writing_counts = false;
    /// Entries of earlier windows that are removed with the next report.
    std::vector<std::string> obsolete_keys;
};

/// \ingroup gateway
/// \brief All state of a gateway.
struct gateway
{
    settings::gateway_settings settings;
    process::main_loop loop;
    base::metrics metrics;
    base::mono_time started_at{};
    bool stopping = false;
    base::event_source stop_timer;

    // Declared before everything that runs calls on them, so that they are destroyed last.
    base::object_ptr<SoupSession> upstream_session;
    base::object_ptr<SoupSession> control_session;
    store_relay relay;
    store::client store;

    std::unique_ptr<http::server> callers;
    std::unique_ptr<http::server> ready;
    std::unique_ptr<http::server> admin;
    std::vector<std::weak_ptr<http::exchange>> open_exchanges;
    base::event_source caller_check;

    std::optional<fleet::configuration> configuration;
    std::uint64_t configuration_revision = 0;
    duty::latest_versions named_weights;
    fleet::pool pool;
    /// Hosts with disks that the operator wants emptied.
    std::vector<std::string> retiring_hosts;
    /// Those that this leader has reported as empty.
    std::set<std::string> retired_hosts;
    poller operator_poller;
    poller upstream_poller;
    poller shared_poller;
    process_lease lease;
    base::event_source lease_timer;
    shared_view shared;
    peer_connections peers;
    list_exchange lists;

    std::uint64_t last_number = 0;
    std::map<std::uint64_t, std::unique_ptr<routed_request>> requests;
    std::map<std::string, owned_job> jobs;
    /// Jobs that this process owns and whose parts are being read.
    std::set<std::string> loading_jobs;
    std::map<std::uint64_t, sample_run> runs;
    std::map<std::string, result_cache> result_caches;
    base::event_source sample_timer;
    /// The samples are checked again then, unless the process is late.
    base::mono_time sample_check_due{};
    base::event_source dispatch_soon;

    duty::candidate candidate;
    duty::weights_plan weights;
    /// Changed shares are not written before this.
    base::mono_time publish_shares_at{};
    duty::usage_windows usage;
    usage_reporting reporting;
    std::map<std::uint64_t, std::shared_ptr<http::fetch>> control_calls;
    base::event_source leader_timer;
};

/// \ingroup gateway
/// \brief Opens the ports of a gateway and starts its work.
[[nodiscard]] base::result<std::unique_ptr<gateway>> make_gateway(settings::gateway_settings);

/// \ingroup gateway
/// \brief Runs until the process was told to stop.
void run(gateway& self);

/// \ingroup gateway
/// \brief Whether callers may be sent here.
[[nodiscard]] bool is_ready(gateway const& self, base::mono_time now);

/// \ingroup gateway
/// \brief Whether the lease of this process certainly holds.
[[nodiscard]] inline bool has_lease(gateway const& self, base::mono_time now)
{
    return self.lease.id != 0 && now < self.lease.valid_until;
}

/// \ingroup gateway
/// \brief The route that a batch job was submitted on, if there still is one.
[[nodiscard]] inline fleet::route const* route_of(gateway const& self,
                                                  rollout::job_record const& record)
{
    return self.configuration ? fleet::find_route(*self.configuration, record.host, record.path)
                              : nullptr;
}

/// \ingroup gateway
/// \brief Longest time for one call to the store that no caller waits for.
inline constexpr base::duration store_call_timeout = std::chrono::milliseconds(1000);

/// \ingroup gateway
/// \brief What this process writes where it owns something.
[[nodiscard]] inline std::string own_mark(gateway const& self)
{
    return rollout::owner_id(self.settings.host, self.lease.id);
}

} // namespace gooseberrywood::gateway

#endif
