#include "fleet/try_outcome.hpp"
#include "property.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;
using fleet::next_step;
using fleet::try_outcome;

SCENARIO("the action after a try depends on whether the request may run again")
{
    GIVEN("a request that may run at most once")
    {
        THEN("it is tried elsewhere only if it has not run")
        {
            CHECK(fleet::decide_next_step({try_outcome::not_run, false, 0, 1, 0, true}) ==
                  next_step::try_elsewhere);
            CHECK(fleet::decide_next_step({try_outcome::lost, false, 1, 1, 0, true}) ==
                  next_step::give_up);
            CHECK(fleet::decide_next_step({try_outcome::failed, false, 1, 3, 0, true}) ==
                  next_step::deliver);
        }
    }
    GIVEN("an idempotent request")
    {
        THEN("it runs on at most as many upstreams as the route allows")
        {
            CHECK(fleet::decide_next_step({try_outcome::lost, true, 1, 2, 0, true}) ==
                  next_step::try_elsewhere);
            CHECK(fleet::decide_next_step({try_outcome::lost, true, 2, 2, 0, true}) ==
                  next_step::give_up);
            CHECK(fleet::decide_next_step({try_outcome::lost, true, 2, 2, 1, true}) ==
                  next_step::wait);
        }
        THEN("it is refused if it has not run and no time is left")
        {
            CHECK(fleet::decide_next_step({try_outcome::not_run, true, 0, 2, 0, false}) ==
                  next_step::refuse);
        }
    }
    test::check_property(
        "a request is refused only if it has not run, and retried only if it may run again",
        []
        {
            auto const any_below = [](int end)
            {
                return static_cast<std::uint32_t>(*rc::gen::inRange(0, end));
            };
            fleet::try_summary const summary{static_cast<try_outcome>(any_below(4)),
                                             *rc::gen::arbitrary<bool>(),
                                             any_below(4),
                                             1 + any_below(3),
                                             any_below(3),
                                             *rc::gen::arbitrary<bool>()};
            auto const step = fleet::decide_next_step(summary);
            RC_ASSERT(step != next_step::refuse || (summary.runs == 0 && summary.running == 0));
            RC_ASSERT(step != next_step::try_elsewhere || summary.runs == 0 ||
                      (summary.idempotent && summary.runs < summary.max_runs));
        });
}
