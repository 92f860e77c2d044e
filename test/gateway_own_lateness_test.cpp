#include "gateway/gateway.hpp"
#include "gateway/sample_runner.hpp"
#include "process/main_loop.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

void run_for(base::duration time)
{
    bool is_over = false;
    auto const limit = base::at(base::mono_now() + time, [&] { is_over = true; });
    while (!is_over)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
}

} // namespace

SCENARIO("a gateway has less processor time than the start of a large step needs")
{
    // Replays steps of 256 samples at a gateway with half a processor: it was busy for more than a
    // second, took that for the silence of its upstreams and broke a hundred whole runs at once.
    gateway::gateway self;
    gateway::start_sample_checks(self);
    run_for(150ms);
    self.runs[1].upstream = std::string("upstream-1");
    self.runs[1].silence_deadline = base::mono_now() + 300ms;
    WHEN("it is late itself")
    {
        std::this_thread::sleep_for(500ms);
        run_for(120ms);
        THEN("its runs are not taken for silent")
        {
            CHECK(self.runs.contains(1));
        }
        AND_WHEN("it is on time again and the upstream stays silent")
        {
            run_for(600ms);
            THEN("the run is broken")
            {
                CHECK_FALSE(self.runs.contains(1));
            }
        }
    }
    WHEN("it is on time")
    {
        run_for(500ms);
        THEN("the silent run is broken")
        {
            CHECK_FALSE(self.runs.contains(1));
        }
    }
}

SCENARIO("events that come shortly after each other are read in one round of the loop")
{
    process::main_loop loop;
    process::gather_events(30ms);
    std::vector<base::mono_time> seen;
    auto const begin = base::mono_now();
    std::vector<base::event_source> events;
    for (auto const after : {5ms, 10ms, 15ms})
    {
        events.push_back(base::at(begin + after, [&] { seen.push_back(base::mono_now()); }));
    }
    events.push_back(base::at(begin + 100ms, [&] { process::stop(loop); }));
    process::run(loop, [] {});
    process::gather_events({});
    REQUIRE(seen.size() == 3);
    CHECK(seen[0] - begin >= 15ms);
    CHECK(seen[2] - seen[0] < 5ms);
}
