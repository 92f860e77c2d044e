#ifndef GOOSEBERRYWOOD_GATEWAY_GATEWAY_HPP
#define GOOSEBERRYWOOD_GATEWAY_GATEWAY_HPP

#include "base/event_source.hpp"
#include "base/metrics.hpp"
#include "base/result.hpp"
#include "duty/candidate.hpp"
#include "duty/needed_versions.hpp"
#include "duty/usage_windows.hpp"
#include "duty/weights_plan.hpp"
#include "fleet/configuration.hpp"
#include "fleet/cost_estimate.hpp"
#include "fleet/pool.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/list_exchange.hpp"
#include "gateway/owned_job.hpp"
#include "gateway/peer_connections.hpp"
#include "gateway/permits.hpp"
#include "gateway/poller.hpp"
#include "gateway/process_lease.hpp"
#include "gateway/routed_request.hpp"
#include "gateway/sample_run.hpp"
#include "gateway/shared_view.hpp"
#include "gateway/store_relay.hpp"
#include "gateway/stream_origins.hpp"
#include "http/descriptor_limits.hpp"
#include "http/memory_budgets.hpp"
#include "http/response_limits.hpp"
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
/// \brief Cached results of a job that another process owns, up to the last one read. Stored
/// results are immutable, so the cache is only ever extended.
struct result_cache
{
    std::vector<rollout::sample_result> results;
    /// Key of the last result chunk that the cache holds.
    std::string last_key;
    base::mono_time expires_at{};
};

/// \ingroup gateway
/// \brief State of the usage reports that the leader sends.
struct usage_reporting
{
    /// The last window whose report was accepted.
    std::int64_t last_reported_window = 0;
    bool report_pending = false;
    bool writing_counts = false;
    /// Keys of counts that are already part of a report; removed with the next report.
    std::vector<std::string> obsolete_keys;
};

/// \ingroup gateway
/// \brief State of a gateway process.
struct gateway
{
    settings::gateway_settings settings;
    process::main_loop loop;
    base::metrics metrics;
    base::mono_time started_at{};
    bool stopping = false;
    base::event_source stop_timer;

    http::descriptor_limits descriptors;
    /// What this process may hold of what callers and upstreams send.
    http::memory_budgets budgets = http::make_memory_budgets(http::default_memory_bytes);
    /// Limits of the responses of upstreams, and of the texts made of them.
    http::response_limits response_limits;
    // Declared before the members that make calls through them, so that they are destroyed last.
    base::object_ptr<SoupSession> upstream_session;
    base::object_ptr<SoupSession> control_session;
    store_relay relay;
    store::client store;

    std::unique_ptr<http::server> callers;
    std::unique_ptr<http::server> ready;
    std::unique_ptr<http::server> admin;
    /// Requests of callers that are not answered yet.
    std::vector<std::weak_ptr<http::exchange>> open_exchanges;
    /// Set at the end of the time to stop: new requests are refused.
    bool refuses_callers = false;
    base::event_source caller_check;

    std::optional<fleet::configuration> configuration;
    std::uint64_t configuration_revision = 0;
    /// Revision of the last configuration that could not be read.
    std::uint64_t rejected_configuration_revision = 0;
    duty::latest_versions named_weights;
    fleet::pool pool;
    fleet::cost_estimates costs;
    /// Hosts that the operator is retiring and whose disks must be emptied.
    std::vector<std::string> retiring_hosts;
    /// Hosts that this process has reported as empty while leading.
    std::set<std::string> retired_hosts;
    poller operator_poller;
    poller upstream_poller;
    poller shared_poller;
    process_lease lease;
    base::event_source lease_timer;
    shared_view shared;
    peer_connections peers;
    list_exchange lists;
    permit_exchange permits;
    stream_origins origins;
    crash_watch crashes;

    std::uint64_t last_number = 0;
    std::map<std::uint64_t, std::unique_ptr<routed_request>> requests;
    std::map<std::string, owned_job> jobs;
    /// Jobs that this process owns and is loading from the store.
    std::set<std::string> loading_jobs;
    std::map<std::uint64_t, sample_run> runs;
    std::map<std::string, result_cache> result_caches;
    base::event_source sample_timer;
    /// When the next sample check is due; a later check shows that the process was delayed.
    base::mono_time sample_check_due{};
    /// Running samples are not checked for moves before this time.
    base::mono_time next_move_check{};
    base::event_source dispatch_soon;
    base::event_source withdraw_soon;

    duty::candidate candidate;
    duty::weights_plan weights;
    /// Versions that the open steps need, as of the last duties.
    duty::needed_versions needed_weights;
    /// Changed model shares are not written before this time.
    base::mono_time publish_shares_at{};
    duty::usage_windows usage;
    usage_reporting reporting;
    std::map<std::uint64_t, std::shared_ptr<http::fetch>> control_calls;
    base::event_source leader_timer;
    /// Fires when a load of weights is expected to finish.
    base::event_source load_end_timer;
    base::event_source order_soon;
};

/// \ingroup gateway
/// \brief Opens the ports of a gateway and starts its periodic work.
/// \returns an error when a port can't be opened.
[[nodiscard]] base::result<std::unique_ptr<gateway>> make_gateway(settings::gateway_settings);

/// \ingroup gateway
/// \brief Runs the main loop until the process is told to stop.
void run(gateway& self);

/// \ingroup gateway
/// \brief Whether the load balancer may send callers to this gateway.
[[nodiscard]] bool is_ready(gateway const& self, base::mono_time now);

/// \ingroup gateway
/// \brief Whether this process holds a lease that is certain to be valid at `now`.
[[nodiscard]] inline bool has_lease(gateway const& self, base::mono_time now)
{
    return self.lease.id != 0 && now < self.lease.valid_until;
}

/// \ingroup gateway
/// \brief Finds the route that a batch job was submitted on.
/// \returns nullptr when the configuration has no such route any more.
[[nodiscard]] inline fleet::route const* route_of(gateway const& self,
                                                  rollout::job_record const& record)
{
    return self.configuration ? fleet::find_route(*self.configuration, record.host, record.path)
                              : nullptr;
}

/// \ingroup gateway
/// \brief Timeout of store calls that no caller waits for.
inline constexpr base::duration store_call_timeout = std::chrono::milliseconds(1000);

/// \ingroup gateway
/// \brief Value that this process stores in the entries that it owns; it identifies the host and
/// the lease.
[[nodiscard]] inline std::string own_mark(gateway const& self)
{
    return rollout::owner_id(self.settings.host, self.lease.id);
}

} // namespace gooseberrywood::gateway

#endif
