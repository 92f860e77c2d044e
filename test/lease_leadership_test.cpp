#include "lease.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using base::result_code;

namespace
{

constexpr base::mono_time start{1000s};

base::error error_with(result_code code)
{
    return {code, "test"};
}

lease::leadership make_leader(base::mono_time granted_at)
{
    lease::leadership leader;
    leader.options = {"leader", "host-1/77", 10s, 5s};
    REQUIRE(lease::next_step(leader, granted_at)->kind == lease::step_kind::acquire);
    lease::on_acquired(leader, 4, granted_at);
    return leader;
}

} // namespace

SCENARIO("a holder computes its lease deadline on its own clock")
{
    GIVEN("a lease of 10 s that was granted 2 s after the call was sent")
    {
        lease::leadership leader;
        leader.options = {"leader", "host-1/77", 10s, 5s};
        CHECK_FALSE(lease::may_act(leader, start));
        REQUIRE(lease::next_step(leader, start).has_value());
        lease::on_acquired(leader, 4, start + 2s);
        THEN("the deadline is 10 s after the call was sent, minus 5 % and 100 ms")
        {
            CHECK(lease::may_act(leader, start + 9399ms));
            CHECK_FALSE(lease::may_act(leader, start + 9400ms));
        }
        WHEN("a renewal gets no response")
        {
            REQUIRE(lease::next_step(leader, start + 4s)->kind == lease::step_kind::renew);
            lease::on_renewed(
                leader, tl::unexpected(error_with(result_code::store_outcome_unknown)), start + 6s);
            THEN("the deadline is unchanged, and the renewal is sent again")
            {
                CHECK_FALSE(lease::may_act(leader, start + 9400ms));
                CHECK(lease::next_step(leader, start + 7s)->kind == lease::step_kind::renew);
            }
        }
        WHEN("a renewal is rejected")
        {
            REQUIRE(lease::next_step(leader, start + 4s).has_value());
            lease::on_renewed(leader, tl::unexpected(error_with(result_code::lease_lost)),
                              start + 5s);
            THEN("the holder may no longer act")
            {
                CHECK_FALSE(lease::may_act(leader, start + 5s));
            }
        }
        WHEN("it steps down and wants the lease again before the release has ended")
        {
            leader.wanted = false;
            CHECK_FALSE(lease::may_act(leader, start + 3s));
            REQUIRE(lease::next_step(leader, start + 3s)->kind == lease::step_kind::release);
            leader.wanted = true;
            THEN("it may not act, since the store may have granted the lease to another process")
            {
                CHECK_FALSE(lease::may_act(leader, start + 3s));
                lease::on_released(leader, start + 4s);
                CHECK(lease::next_step(leader, start + 4s)->kind == lease::step_kind::acquire);
            }
        }
    }
}

SCENARIO("a successor waits before its first order")
{
    auto leader = make_leader(start);
    // Renewed, so that only `orders_allowed_at` prevents orders.
    REQUIRE(lease::next_step(leader, start + 12s).has_value());
    lease::on_renewed(leader, {}, start + 12s);
    THEN("it waits for the lease duration, the maximum order duration and the drift margin")
    {
        CHECK(lease::may_act(leader, start + 15s));
        CHECK_FALSE(lease::may_send_orders(leader, start + 15849ms));
        CHECK(lease::may_send_orders(leader, start + 15850ms));
    }
}

// Guards against acting on the grant of an earlier acquisition, which expires sooner.
SCENARIO("an acquisition whose response is lost is read back")
{
    lease::leadership leader;
    leader.options = {"leader", "host-1/77", 10s, 5s};
    auto const first = lease::next_step(leader, start);
    REQUIRE(first.has_value());
    lease::on_acquired(leader, tl::unexpected(error_with(result_code::store_outcome_unknown)),
                       start + 2s);
    REQUIRE(lease::next_step(leader, start + 2s)->kind == lease::step_kind::read_back);

    WHEN("the store reports this acquisition as the holder")
    {
        lease::on_read_back(leader, provider::lease_state{first->holder, 9}, start + 3s);
        THEN("the deadline is computed from the time when the acquisition was sent")
        {
            CHECK(leader.fencing == 9);
            CHECK(lease::may_act(leader, start + 9399ms));
            CHECK_FALSE(lease::may_act(leader, start + 9400ms));
        }
    }
    WHEN("the store reports another holder")
    {
        lease::on_read_back(leader, provider::lease_state{"host-2/5#1", 9}, start + 3s);
        THEN(
            "the next acquisition uses another name, so that a late grant of the first is not used")
        {
            CHECK_FALSE(lease::may_act(leader, start + 3s));
            auto const second = lease::next_step(leader, start + 10s);
            REQUIRE(second->kind == lease::step_kind::acquire);
            CHECK(second->holder != first->holder);
        }
    }
    WHEN("the store can't be read until the grant would have expired")
    {
        lease::on_read_back(leader, tl::unexpected(error_with(result_code::store_unavailable)),
                            start + 9s);
        THEN("the lease is acquired again")
        {
            CHECK(lease::next_step(leader, start + 10s)->kind == lease::step_kind::acquire);
        }
    }
}
