#include "gateway/gateway.hpp"
#include "gateway/sample_runner.hpp"
#include "process/main_loop.hpp"
#include "run_loop.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using test::run_for;

SCENARIO("a delay of the gateway's main loop does not count as silence of its upstreams")
{
    // Guards against aborting runs as silent because the gateway itself was busy. With half a
    // processor, the start of a step of 256 samples blocked the main loop for more than a second,
    // and a hundred intact runs were aborted at once.
    gateway::gateway self;
    gateway::start_sample_checks(self);
    run_for(150ms);
    self.runs[1].upstream = std::string("upstream-1");
    self.runs[1].silence_deadline = base::mono_now() + 300ms;
    WHEN("the main loop is blocked")
    {
        std::this_thread::sleep_for(500ms);
        run_for(120ms);
        THEN("the run is not aborted")
        {
            CHECK(self.runs.contains(1));
        }
        AND_WHEN("the main loop runs again and the upstream stays silent")
        {
            run_for(600ms);
            THEN("the run is aborted")
            {
                CHECK_FALSE(self.runs.contains(1));
            }
        }
    }
    WHEN("the main loop runs on time")
    {
        run_for(500ms);
        THEN("the silent run is aborted")
        {
            CHECK_FALSE(self.runs.contains(1));
        }
    }
}

SCENARIO("events that arrive within the gather interval are handled in one round of the main loop")
{
    process::main_loop loop;
    process::set_poll_delay(30ms);
    std::vector<base::mono_time> fired_at;
    auto const begin = base::mono_now();
    std::vector<base::event_source> events;
    for (auto const after : {5ms, 10ms, 15ms})
    {
        events.push_back(base::at(begin + after, [&] { fired_at.push_back(base::mono_now()); }));
    }
    events.push_back(base::at(begin + 100ms, [&] { process::stop(loop); }));
    process::run(loop, [] {});
    process::set_poll_delay({});
    REQUIRE(fired_at.size() == 3);
    CHECK(fired_at[0] - begin >= 15ms);
    CHECK(fired_at[2] - fired_at[0] < 5ms);
}
