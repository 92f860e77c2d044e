#ifndef GOOSEBERRYWOOD_TEST_STANDIN_UPSTREAM_UPSTREAM_HPP
#define GOOSEBERRYWOOD_TEST_STANDIN_UPSTREAM_UPSTREAM_HPP

#include "base/event_source.hpp"
#include "standin/http.hpp"

#include <map>
#include <memory>
#include <vector>

namespace gooseberrywood::test
{

struct upstream_options
{
    bool engine = true;
    base::duration token_time{};
    base::duration first_token_time{};
    /// Concurrent requests that a fresh and a warm upstream bears; linear in between.
    std::int64_t bears_fresh = 0;
    std::int64_t bears_warm = 0;
    base::duration warm_up{};
    std::string crash_word;
    bool checks_fencing = false;
};

struct upstream_faults
{
    base::duration delay{};
    bool drop_answer = false;
    bool freeze = false;
    bool cold = false;
    unsigned error_status = 0;
    bool crash = false;
};

/// A request that started here, whether or not its answer arrived.
struct execution
{
    std::string id;
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    header_list headers;
    base::wall_time started_at{};
    bool finished = false;
    bool canceled = false;
};

/// A request that runs.
struct run
{
    base::object_ptr<SoupServerMessage> message;
    std::shared_ptr<execution> record;
    bool stream = false;
    bool chat = false;
    std::string model;
    std::uint64_t prompt_hash = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t next_token = 0;
    std::uint64_t max_tokens = 0;
    bool crashes = false;
    std::string text;
    base::mono_time due{};
    base::event_source timer;
};

struct upstream
{
    upstream_options options;
    upstream_faults faults;
    http_server server;
    base::mono_time serving_since{};
    std::uint64_t weight_version = 0;
    std::map<SoupServerMessage*, std::unique_ptr<run>> running;
    std::vector<std::shared_ptr<execution>> executions;
    std::uint64_t max_running_seen = 0;
    std::uint64_t overload = 0;
    std::uint64_t tokens_generated = 0;
    std::uint64_t highest_fencing = 0;
    std::vector<nlohmann::json> orders;
};

/// Starts a request or refuses it.
void start_run(upstream& self, SoupServerMessage* message);

/// Answers a path below /standin or /standin-orders.
void control(upstream& self, SoupServerMessage* message, std::string const& path);

} // namespace gooseberrywood::test

#endif
