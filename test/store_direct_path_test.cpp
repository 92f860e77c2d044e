#include "store/direct_path.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

base::mono_time at_ms(std::int64_t milliseconds)
{
    return base::mono_time(std::chrono::milliseconds(milliseconds));
}

} // namespace

SCENARIO("a process loses its direct path to the store")
{
    store::direct_path path;
    CHECK(store::should_call_directly(path, at_ms(0)));
    CHECK_FALSE(store::may_relay(path, at_ms(0)));
    (void)store::record_direct_call(path, true, at_ms(1000));
    CHECK(store::may_relay(path, at_ms(1001)));
    WHEN("a call fails")
    {
        CHECK(store::record_direct_call(path, false, at_ms(2000)));
        THEN("calls are relayed, and from time to time one is sent directly")
        {
            CHECK_FALSE(store::should_call_directly(path, at_ms(2500)));
            CHECK(store::should_call_directly(path, at_ms(3100)));
            CHECK_FALSE(store::record_direct_call(path, false, at_ms(3100)));
            CHECK_FALSE(store::should_call_directly(path, at_ms(3200)));
        }
        THEN("it relays no calls for others, so that no call circulates during a store outage")
        {
            CHECK_FALSE(store::may_relay(path, at_ms(2001)));
        }
        THEN("the next call is sent directly if no other process could relay it")
        {
            store::record_relay_failure(path);
            CHECK(store::should_call_directly(path, at_ms(2001)));
        }
        THEN("the path works again once a call is served")
        {
            CHECK(store::record_direct_call(path, true, at_ms(3000)));
            CHECK(store::should_call_directly(path, at_ms(3001)));
            CHECK(store::may_relay(path, at_ms(3001)));
        }
    }
    WHEN("no direct call has succeeded for some time")
    {
        THEN("it relays no calls for others")
        {
            CHECK_FALSE(store::may_relay(path, at_ms(4000)));
        }
    }
}
