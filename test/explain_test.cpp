#include "explain.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;

SCENARIO("the lines about an id tell how it ended")
{
    explain::id_history history{"s1", {}};
    GIVEN("lines of two processes out of order, of other ids, and damaged ones")
    {
        explain::add_line(history, R"(edge-2 {"time_us":30,"event":"sample_listed","sample":"s1",)"
                                   R"("done":1,"events":7,"late_us":-5})");
        explain::add_line(history, R"({"time_us":10,"event":"run_broken","sample":"s1",)"
                                   R"("reason":"no event in time","upstream":"u1","events":3})");
        explain::add_line(history, R"({"time_us":20,"event":"run_broken","sample":"s2"})");
        explain::add_line(history, R"({"time_us":25,"event":"run_bro)");
        explain::sort_lines(history);
        THEN("only its own are kept, in their order, and the last ending is told")
        {
            REQUIRE(history.lines.size() == 2);
            CHECK(history.lines[0].time_us == 10);
            CHECK(explain::summary(history) ==
                  "s1: the sample was listed, done 1, events 7, late_us -5 (2 lines, the last one "
                  "at 30 us).");
        }
    }
    GIVEN("no line")
    {
        CHECK(explain::summary(history) == "s1: no line names it.");
    }
    GIVEN("a window of usage")
    {
        explain::id_history usage_window{"353", {}};
        explain::add_line(usage_window, R"({"time_us":1,"event":"usage_reported","window":353,)"
                                        R"("teams":2,"fencing":9,"outcome":"accepted"})");
        CHECK(explain::summary(usage_window)
                  .starts_with("353: the window was reported, outcome accepted"));
    }
}
