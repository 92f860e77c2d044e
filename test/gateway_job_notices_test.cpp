#include "gateway/gateway.hpp"
#include "gateway/job_notices.hpp"
#include "gateway/store_relay.hpp"
#include "http/status.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t owner_revision = 7;

constexpr std::string_view one_sample =
    R"({"step":1,"model":"m","min_version":1,"desired_count":1,"items":[
        {"id":"s","path":"/t/run","headers":{"Model":"m","Token-Counts":"10,40"},"body":"eA==",
         "tokens":50,"group":"g",
         "scorer":{"id":"r","host":"desk.example","path":"/r/score","body":"eA=="}}]})";

rollout::job_record new_record()
{
    rollout::job_record record;
    record.id = "job";
    record.team = "team-1";
    record.samples = 1;
    return record;
}

wire::job_assigned notice_of(rollout::job_record const& record)
{
    return {record.id, owner_revision, rollout::encode(record)};
}

/// A gateway with a lease, whose store answers a list call only when the test calls `answer`.
struct gateway_with_slow_store
{
    gateway_with_slow_store()
    {
        self.settings.host = "a";
        self.lease.id = 1;
        self.lease.valid_until = base::mono_now() + 60s;
        self.store.list = [this](std::string const& prefix, std::string const&, base::mono_time,
                                 store::done<store::page> then)
        {
            listed_prefixes.push_back(prefix);
            answer_list = std::move(then);
        };
    }
    gateway_with_slow_store(gateway_with_slow_store const&) = delete;
    gateway_with_slow_store& operator=(gateway_with_slow_store const&) = delete;

    /// Answers the list call that loads the job.
    void answer()
    {
        store::item spec;
        spec.key = "job/job/spec/0000";
        spec.value = one_sample;
        answer_list(store::page{{spec}, false});
    }

    gateway::gateway self;
    std::vector<std::string> listed_prefixes;
    store::done<store::page> answer_list;
};

} // namespace

SCENARIO("a gateway is notified that it owns a job")
{
    gateway_with_slow_store fixture;
    auto const record = new_record();
    GIVEN("a job that it does not know")
    {
        gateway::handle_notice(fixture.self, notice_of(record));
        THEN("it loads the job once, even if it is notified repeatedly, and runs it")
        {
            gateway::handle_notice(fixture.self, notice_of(record));
            CHECK(fixture.listed_prefixes == std::vector<std::string>{"job/job/"});
            fixture.answer();
            CHECK(fixture.self.jobs.at("job").owner_revision == owner_revision);
            gateway::handle_notice(fixture.self, notice_of(record));
            CHECK(fixture.listed_prefixes.size() == 1);
        }
        THEN("it does not run a job that ends while it is being loaded")
        {
            // Guards against running samples of ended jobs.
            gateway::handle_notice(fixture.self, wire::job_ended{"job"});
            fixture.answer();
            CHECK(fixture.self.jobs.empty());
        }
    }
    GIVEN("a known job that has lost its owner")
    {
        // Guards against jobs that are not started before the next read of the shared entries
        // because their records are known already.
        fixture.self.shared.records["job"] = {record, 3};
        gateway::handle_notice(fixture.self, notice_of(record));
        THEN("it loads the job at once")
        {
            CHECK(fixture.listed_prefixes.size() == 1);
            CHECK(fixture.self.shared.records.at("job").revision == 3);
        }
    }
    GIVEN("a job that was ended")
    {
        auto ended = record;
        ended.ended = true;
        fixture.self.shared.records["job"] = {ended, 3};
        gateway::handle_notice(fixture.self, notice_of(record));
        THEN("it does not load the job")
        {
            CHECK(fixture.listed_prefixes.empty());
        }
    }
    GIVEN("a notice whose record can't be decoded")
    {
        gateway::handle_notice(fixture.self, wire::job_assigned{"job", owner_revision, "?"});
        THEN("it ignores the notice")
        {
            CHECK(fixture.listed_prefixes.empty());
            CHECK(fixture.self.shared.records.empty());
        }
    }
}

SCENARIO("an upstream loads weights while it runs a sample")
{
    // Guards against aborting runs as silent while their upstream is only loading weights.
    gateway::gateway self;
    auto const now = base::mono_now();
    self.runs[1].upstream = "u";
    self.runs[1].silence_deadline = now + 100ms;
    self.runs[2].upstream = "v";
    self.runs[2].silence_deadline = now + 100ms;
    gateway::handle_notice(self, wire::weights_loading{"u", "m", 5, 900ms});
    CHECK(self.runs[1].silence_deadline > now + 1s);
    CHECK(self.runs[2].silence_deadline == now + 100ms);
}

SCENARIO("the gateway that relays store calls for another one disconnects")
{
    // Guards against calls that wait until their deadline for an answer that can't arrive any more.
    gateway::gateway self;
    self.settings.host = "a";
    self.shared.members["b"] = {"b", 1, "127.0.0.1:1", 1, "z"};
    self.peers.on_lost = [&](std::string const& address)
    {
        gateway::end_calls_through(self, address);
    };
    self.relay.direct = [](http::call_request const&, base::mono_time,
                           std::function<void(http::fetch_outcome)> const& then)
    {
        then(http::whole_answer{http::status::unavailable, {}, ""});
    };
    std::optional<http::fetch_outcome> outcome;
    http::call_request request;
    request.method = "GET";
    auto const asked_at = base::mono_now();
    gateway::make_relayed_transport(self)(
        request, asked_at + 5s, [&](http::fetch_outcome result) { outcome = std::move(result); });
    while (!outcome)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    CHECK_FALSE(outcome->has_value());
    CHECK(base::mono_now() < asked_at + 400ms);
    CHECK(self.relay.waiting.empty());
}
