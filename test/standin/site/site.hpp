#ifndef GOOSEBERRYWOOD_TEST_STANDIN_SITE_SITE_HPP
#define GOOSEBERRYWOOD_TEST_STANDIN_SITE_SITE_HPP

#include "base/event_source.hpp"
#include "base/time.hpp"
#include "standin/http.hpp"
#include "standin/site/raw_answer.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace gooseberrywood::test
{

/// A value in the store.
struct stored_value
{
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
};

struct granted_lease
{
    base::duration length{};
    base::mono_time ends_at{};
};

/// How the store behaves towards those that come through one of its ports.
enum class store_mode : std::uint8_t
{
    serves,
    /// Answers 503 and does nothing.
    refuses,
    /// Does what it is asked and closes the connection instead of answering.
    loses_answers,
    /// As above for transactions, and serves the rest.
    loses_commits,
    /// Does what it is asked at once and answers transactions late.
    answers_late,
};

/// An upstream of the site: an engine that streams samples, or a desk that answers lookups.
struct site_upstream
{
    std::string id;
    std::string service;
    bool is_engine = false;
    http_server server;
    std::uint16_t port = 0;
    std::map<std::string, std::uint32_t> weights = {{"m", 1}};
    std::uint64_t orders = 0;
    std::uint64_t fencing = 0;
    std::uint32_t running = 0;
    std::uint64_t refused = 0;
    /// Ports of the callers: one for each connection.
    std::set<std::uint16_t> caller_ports;
    /// Answers 503 without running anything.
    bool refuses = false;
    /// Number of requests that it runs and answers with 500, even while it refuses.
    std::uint32_t fails = 0;
    /// Takes requests and stays silent.
    bool silent = false;
    /// Requests that it took while it was silent.
    std::vector<base::object_ptr<SoupServerMessage>> held;
    /// Takes requests and closes their connections without an answer.
    bool breaks_off = false;
    /// Version of its software.
    std::string software_version = "v1";
    /// Events end with the software version that made them.
    bool marks_events = false;
    /// The streams up to this number are broken off.
    std::uint32_t dropped_until = 0;
    std::uint32_t runs_begun = 0;
    /// Rate limit that all answers state, in requests per second; 0 states none.
    double rate_limit = 0;
    /// All answers state that it leaves.
    bool states_leaving = false;
    /// State in its entry.
    std::string state = "ready";
    /// Times at which requests arrived.
    std::vector<base::mono_time> arrivals;
    /// Unix milliseconds of its start.
    std::int64_t born = 1;
    /// Times at which a request made it crash.
    std::vector<base::mono_time> crashes;
    /// Set while it is down after a crash: connections are closed without an answer.
    base::event_source restart;
    /// Time from a crash to the restart.
    base::duration down_time = std::chrono::milliseconds(500);
    /// After a crash it starts under a new id.
    bool renames = false;
    /// Time until a lookup is answered.
    base::duration answer_time{};
    /// Time between two events.
    base::duration event_time = std::chrono::milliseconds(5);
};

/// Stands in for the machines of the users: their store, their interface for duties, and upstreams,
/// each on a port of its own.
struct site
{
    http_server store_server;
    /// Another port of the store. Processes that use it can be turned away alone.
    http_server side_door;
    std::uint16_t side_door_port = 0;
    std::map<std::string, stored_value> values;
    std::map<std::uint64_t, granted_lease> leases;
    std::uint64_t revision = 1;
    std::uint64_t leases_granted = 0;
    store_mode mode = store_mode::serves;
    store_mode side_door_mode = store_mode::serves;
    std::uint64_t calls = 0;

    std::vector<std::unique_ptr<site_upstream>> upstreams;
    /// How often each request id was run, and with which team.
    std::map<std::string, std::uint32_t> runs;
    std::map<std::string, std::string> teams;
    /// SHA-256 of the body of the last run of each request id.
    std::map<std::string, std::string> digests;
    /// Headers of the last run of each request id, by their names in lower case.
    std::map<std::string, std::map<std::string, std::string>> headers;
    /// Ids whose runs went on after an event.
    std::uint32_t resumed = 0;
    raw_answers raw;
    nlohmann::json reports = nlohmann::json::array();
};

/// Serves the store's and the duties' calls.
void serve_store(site& self, SoupServerMessage* message, store_mode mode);

/// Serves a request of an upstream.
void serve_upstream(site& self, site_upstream& at, SoupServerMessage* message);

/// Writes an upstream's entry into the store.
void announce(site& self, site_upstream const& which);

/// Serves the test's own calls under /standin/.
void control(site& self, SoupServerMessage* message);

} // namespace gooseberrywood::test

#endif
