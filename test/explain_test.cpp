#include "explain.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;

SCENARIO("the summary of an id names its last outcome")
{
    explain::id_history history{"s1", {}};
    GIVEN("unordered lines of two processes, a line of another id and a truncated line")
    {
        explain::add_line(history, R"(edge-2 {"time_us":30,"event":"sample_listed","sample":"s1",)"
                                   R"("done":1,"events":7,"late_us":-5})");
        explain::add_line(history, R"({"time_us":10,"event":"run_broken","sample":"s1",)"
                                   R"("reason":"no event in time","upstream":"u1","events":3})");
        explain::add_line(history, R"({"time_us":20,"event":"run_broken","sample":"s2"})");
        explain::add_line(history, R"({"time_us":25,"event":"run_bro)");
        explain::sort_lines(history);
        THEN("only lines of the id are kept, sorted by time, and the last outcome is reported")
        {
            REQUIRE(history.lines.size() == 2);
            CHECK(history.lines[0].time_us == 10);
            CHECK(explain::summary(history) ==
                  "s1: the sample was listed, done 1, events 7, late_us -5 (2 log lines, "
                  "this event at 30 us).");
        }
    }
    GIVEN("no log line")
    {
        CHECK(explain::summary(history) == "s1: no log line names this id.");
    }
    GIVEN("a usage window")
    {
        explain::id_history usage_window{"353", {}};
        explain::add_line(usage_window, R"({"time_us":1,"event":"usage_reported","window":353,)"
                                        R"("teams":2,"fencing":9,"outcome":"accepted"})");
        CHECK(explain::summary(usage_window)
                  .starts_with("353: the usage window was reported, outcome accepted"));
    }
}
