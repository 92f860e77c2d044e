#ifndef GOOSEBERRYWOOD_ENTRY_ENTRY_PROCESS_HPP
#define GOOSEBERRYWOOD_ENTRY_ENTRY_PROCESS_HPP

#include "admission/fair_queue.hpp"
#include "base/event_source.hpp"
#include "base/metrics.hpp"
#include "base/result.hpp"
#include "bundle/bundle.hpp"
#include "config/freshness.hpp"
#include "entry/agent_link.hpp"
#include "entry/queued_request.hpp"
#include "entry/request.hpp"
#include "http/memory_budgets.hpp"
#include "http/response_limits.hpp"
#include "http/server.hpp"
#include "process/configuration.hpp"
#include "process/main_loop.hpp"
#include "provider/services.hpp"
#include "routing/claim_home.hpp"
#include "routing/retry_budget.hpp"
#include "routing/suspects.hpp"
#include "routing/upstream_table.hpp"
#include "settings/process_settings.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrywood::entry
{

/// \ingroup entry
/// \brief All state of an entry.
struct entry_process
{
    settings::process_settings settings;
    process::configuration configuration;
    wire::hello own;
    process::main_loop loop;
    base::metrics metrics;
    std::unique_ptr<http::server> callers;
    std::unique_ptr<http::server> admin;
    std::map<std::string, std::shared_ptr<agent_link>, std::less<>> agents;
    std::vector<routing::claim_home> claim_homes;

    routing::upstream_table upstreams;
    routing::retry_budget retries;
    routing::suspects suspects;
    std::mt19937_64 random;

    /// What this process may hold of what callers and agents send.
    http::memory_budgets budgets = http::make_memory_budgets(http::default_memory_bytes);
    /// Limits of the answers of upstreams that requests hold.
    http::response_limits response_limits;
    std::unordered_map<base::request_id, request> requests;
    admission::fair_queue<queued_request> queue;
    /// Set while a run over the queue is due.
    base::event_source dispatch;
    base::event_source caller_check;
    bool stopping = false;

    /// Absent in trials and tests that use a bundle file.
    std::optional<provider::services> platform;
    /// Calls to the platform hold a weak reference: their answers may come after the end.
    std::shared_ptr<int> life = std::make_shared<int>(0);
    std::uint64_t store_revision = 0;
    bool store_answers = true;
    base::event_source store_timer;
    base::event_source hosts_timer;
    std::vector<config::witness> witnesses;
    std::vector<std::string> hosts_leaving;

    config::freshness freshness;
    config::serving_state serving = config::serving_state::full;
    base::mono_time full_until{};
    base::mono_time restricted_until{};
    /// Bundles that a key must also pass while announced changes may be in effect elsewhere.
    std::vector<bundle::bundle> restrictions;
    base::event_source freshness_timer;
};

/// \ingroup entry
/// \brief Opens the ports and connections of an entry.
/// \param bundle the content of a bundle file; without one the platform supplies the configuration.
[[nodiscard]] base::result<std::unique_ptr<entry_process>>
make_entry(settings::process_settings settings, std::optional<bundle::bundle> bundle);

/// \ingroup entry
/// \brief Runs until the process was told to stop and its last request is answered.
void run(entry_process& entry);

/// \ingroup entry
/// \brief Ends the process when it is stopping and has no request left.
void stop_if_idle(entry_process& entry);

} // namespace gooseberrywood::entry

#endif
