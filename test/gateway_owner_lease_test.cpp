#include "gateway/gateway.hpp"
#include "gateway/job_notices.hpp"
#include "gateway/job_running.hpp"
#include "rollout/store_keys.hpp"

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <utility>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t first_lease = 1;
constexpr std::uint64_t second_lease = 2;
constexpr std::uint64_t entry_revision = 7;

constexpr std::string_view one_sample =
    R"({"step":1,"model":"m","min_version":1,"desired_count":1,"items":[
        {"id":"s","path":"/t/run","headers":{"Model":"m","Token-Counts":"10,40"},"body":"eA==",
         "tokens":50,"group":"g",
         "scorer":{"id":"r","host":"desk.example","path":"/r/score","body":"eA=="}}]})";

rollout::job_record new_record()
{
    rollout::job_record record;
    record.id = "job";
    record.samples = 1;
    return record;
}

/// A gateway whose store answers a list call only when the test calls `answer`.
struct loading_gateway
{
    loading_gateway()
    {
        self.settings.host = "a";
        hold_lease(first_lease);
        self.store.list = [this](std::string const&, std::string const&, base::mono_time,
                                 store::done<store::page> then)
        {
            answer_list = std::move(then);
        };
    }
    loading_gateway(loading_gateway const&) = delete;
    loading_gateway& operator=(loading_gateway const&) = delete;

    void hold_lease(std::uint64_t id)
    {
        self.lease.id = id;
        self.lease.valid_until = base::mono_now() + 60s;
    }

    void answer() const
    {
        store::item spec;
        spec.key = rollout::spec_key("job", 0);
        spec.value = one_sample;
        answer_list(store::page{{spec}, false});
    }

    gateway::gateway self;
    store::done<store::page> answer_list;
};

} // namespace

SCENARIO("the lease of an owner ends while it loads its job")
{
    // Guards against an owner that was replaced, takes its next lease for the one that made it the
    // owner, and shows the results that it loaded instead of those that the new owner stored.
    loading_gateway fixture;
    auto& self = fixture.self;
    GIVEN("a job that it was assigned")
    {
        gateway::handle_notice(
            self, wire::job_assigned{"job", entry_revision, rollout::encode(new_record())});
        REQUIRE(fixture.answer_list);
        WHEN("the job is loaded under the next lease")
        {
            fixture.hold_lease(second_lease);
            fixture.answer();
            THEN("it does not run the job")
            {
                CHECK(self.jobs.empty());
            }
        }
        WHEN("the job is loaded under the same lease")
        {
            fixture.answer();
            THEN("it owns the job")
            {
                CHECK(gateway::owns(self, self.jobs.at("job"), base::mono_now()));
            }
        }
    }
    GIVEN("a job that it loads again")
    {
        auto& job = self.jobs["job"];
        job.record = new_record();
        gateway::reload_job(self, job, entry_revision);
        WHEN("the job is loaded under the next lease")
        {
            fixture.hold_lease(second_lease);
            fixture.answer();
            THEN("it does not own the job")
            {
                CHECK_FALSE(gateway::owns(self, job, base::mono_now()));
            }
        }
    }
}

SCENARIO("the lease of an owner ends before it hears that its submission was stored")
{
    loading_gateway fixture;
    auto& self = fixture.self;
    fixture.hold_lease(second_lease);
    gateway::start_submitted_job(self, new_record(), {}, {entry_revision, first_lease});
    THEN("it does not run the job")
    {
        CHECK(self.jobs.empty());
    }
}
