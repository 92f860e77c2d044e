#ifndef GOOSEBERRYWOOD_TEST_STANDIN_PLATFORM_PLATFORM_HPP
#define GOOSEBERRYWOOD_TEST_STANDIN_PLATFORM_PLATFORM_HPP

#include "base/event_source.hpp"
#include "provider/call_kind.hpp"
#include "provider/versioned_value.hpp"
#include "standin/http.hpp"

#include <list>
#include <map>
#include <optional>
#include <vector>

namespace gooseberrywood::test
{

/// What happens to calls of one kind.
struct fault_rule
{
    /// Name of a call kind, or `*`.
    std::string kind;
    /// `refuse` (503, no effect), `hang` (no effect, no answer), `slow` (effect after the delay) or
    /// `drop` (effect, then the connection is closed).
    std::string mode;
    base::duration delay{};
    /// Calls that the rule still applies to; -1: all.
    std::int64_t count = -1;
};

struct lease_record
{
    std::string holder;
    std::uint64_t fencing = 0;
    /// The store judges leases by its wall clock.
    base::wall_time expires_at{};
};

struct waiting_watch
{
    base::object_ptr<SoupServerMessage> message;
    std::string key;
    std::uint64_t above = 0;
    base::event_source timer;
};

struct platform_standin
{
    http_server server;
    std::vector<fault_rule> faults;
    provider::call_counts calls{};
    std::map<std::string, provider::versioned_value> values;
    std::uint64_t last_revision = 0;
    std::list<waiting_watch> watches;
    std::map<std::string, lease_record> leases;
    nlohmann::json hosts = nlohmann::json::array();
    base::duration host_lag{};
    std::vector<base::event_source> host_updates;
    bool checks_fencing = false;
    std::uint64_t highest_fencing = 0;
    nlohmann::json orders = nlohmann::json::array();
    nlohmann::json usage = nlohmann::json::array();
    /// Model, then versions with their sizes.
    std::map<std::string, nlohmann::json> weights;
    double weight_calls_per_s = 0;
    double weight_tokens = 0;
    base::mono_time weight_tokens_at{};
};

/// The kind of a call to the platform's own paths.
[[nodiscard]] std::optional<provider::call_kind>
kind_of(std::string const& method, std::string const& path, std::string const& query);

/// Lets a call take effect and sets its answer; a watch may be left waiting.
void serve_call(platform_standin& self, SoupServerMessage* message, provider::call_kind kind);

/// Answers a path below /standin.
void control(platform_standin& self, SoupServerMessage* message, std::string const& path);

} // namespace gooseberrywood::test

#endif
