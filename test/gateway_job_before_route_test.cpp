#include "fleet/configuration.hpp"
#include "gateway/gateway.hpp"
#include "gateway/job_ownership.hpp"
#include "gateway/job_running.hpp"
#include "rollout/store_keys.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;
using namespace std::chrono_literals;

SCENARIO("a gateway runs a job before it has read the job's route")
{
    // Guards against samples that are given up after the usual time instead of that of their route.
    gateway::gateway self;
    self.settings.host = "a";
    self.lease.id = 1;
    self.lease.valid_until = base::mono_now() + 60s;
    rollout::job_record record;
    record.id = "job";
    record.host = "train.example";
    record.path = "/t/submit";
    record.submitted_at = base::wall_now();
    gateway::start_submitted_job(self, record, {}, {7, 1});
    self.shared.records["job"] = {record, 7};
    self.shared.owners["job"] = {rollout::owner_key("job"), gateway::own_mark(self), 7};
    WHEN("it reads a configuration with the route")
    {
        fleet::route route;
        route.host = "train.example";
        route.prefix = "/t/";
        route.kind = fleet::route_kind::rollout;
        route.retention = 600s;
        self.configuration.emplace();
        self.configuration->routes.push_back(route);
        fleet::build_indexes(*self.configuration);
        gateway::reconcile_jobs(self);
        THEN("the job is given up at the time that the route says")
        {
            CHECK(self.jobs.at("job").give_up_at > base::mono_now() + 590s);
        }
    }
}
