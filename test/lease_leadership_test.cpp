#include "lease.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using base::result_code;

namespace
{

constexpr base::mono_time begin{1000s};

base::error error_with(result_code code)
{
    return {code, "test"};
}

lease::leadership make(base::mono_time granted_at)
{
    lease::leadership made;
    made.options = {"leader", "host-1/77", 10s, 5s};
    REQUIRE(lease::next_step(made, granted_at)->kind == lease::step_kind::acquire);
    lease::on_acquired(made, 4, granted_at);
    return made;
}

} // namespace

SCENARIO("a holder judges its lease by its own clock")
{
    GIVEN("a lease of 10 s whose grant took 2 s to arrive")
    {
        lease::leadership leader;
        leader.options = {"leader", "host-1/77", 10s, 5s};
        CHECK_FALSE(lease::may_act(leader, begin));
        REQUIRE(lease::next_step(leader, begin).has_value());
        lease::on_acquired(leader, 4, begin + 2s);
        THEN("the deadline counts from before the call, less 5 % and 100 ms")
        {
            CHECK(lease::may_act(leader, begin + 9399ms));
            CHECK_FALSE(lease::may_act(leader, begin + 9400ms));
        }
        WHEN("a renewal gets no answer")
        {
            REQUIRE(lease::next_step(leader, begin + 4s)->kind == lease::step_kind::renew);
            lease::on_renewed(
                leader, tl::unexpected(error_with(result_code::store_outcome_unknown)), begin + 6s);
            THEN("the deadline stays, and the renewal is sent again")
            {
                CHECK_FALSE(lease::may_act(leader, begin + 9400ms));
                CHECK(lease::next_step(leader, begin + 7s)->kind == lease::step_kind::renew);
            }
        }
        WHEN("a renewal is refused")
        {
            REQUIRE(lease::next_step(leader, begin + 4s).has_value());
            lease::on_renewed(leader, tl::unexpected(error_with(result_code::lease_lost)),
                              begin + 5s);
            THEN("the holder stops at once")
            {
                CHECK_FALSE(lease::may_act(leader, begin + 5s));
            }
        }
        WHEN("it steps down and wants the lease again before the release is answered")
        {
            leader.wanted = false;
            CHECK_FALSE(lease::may_act(leader, begin + 3s));
            REQUIRE(lease::next_step(leader, begin + 3s)->kind == lease::step_kind::release);
            leader.wanted = true;
            THEN("it may not act, since the store may have let another process in")
            {
                CHECK_FALSE(lease::may_act(leader, begin + 3s));
                lease::on_released(leader, begin + 4s);
                CHECK(lease::next_step(leader, begin + 4s)->kind == lease::step_kind::acquire);
            }
        }
    }
}

SCENARIO("a successor waits before its first order")
{
    auto leader = make(begin);
    // Renewed, so that only `start_at` holds it back.
    REQUIRE(lease::next_step(leader, begin + 12s).has_value());
    lease::on_renewed(leader, {}, begin + 12s);
    THEN("it waits for a whole lease and the longest order, with the margin")
    {
        CHECK(lease::may_act(leader, begin + 15s));
        CHECK_FALSE(lease::safe_to_start(leader, begin + 15849ms));
        CHECK(lease::safe_to_start(leader, begin + 15850ms));
    }
}

// Guards against acting on a grant of an earlier acquisition, which lapses sooner.
SCENARIO("an acquisition whose answer is lost is read back")
{
    lease::leadership leader;
    leader.options = {"leader", "host-1/77", 10s, 5s};
    auto const first = lease::next_step(leader, begin);
    REQUIRE(first.has_value());
    lease::on_acquired(leader, tl::unexpected(error_with(result_code::store_outcome_unknown)),
                       begin + 2s);
    REQUIRE(lease::next_step(leader, begin + 2s)->kind == lease::step_kind::read_back);

    WHEN("the store shows this acquisition")
    {
        lease::on_read_back(leader, provider::lease_state{first->holder, 9}, begin + 3s);
        THEN("the lease counts from when the acquisition was sent")
        {
            CHECK(leader.fencing == 9);
            CHECK(lease::may_act(leader, begin + 9399ms));
            CHECK_FALSE(lease::may_act(leader, begin + 9400ms));
        }
    }
    WHEN("the store shows another holder")
    {
        lease::on_read_back(leader, provider::lease_state{"host-2/5#1", 9}, begin + 3s);
        THEN(
            "the next acquisition has another name, so that a late grant of the first is not taken")
        {
            CHECK_FALSE(lease::may_act(leader, begin + 3s));
            auto const second = lease::next_step(leader, begin + 10s);
            REQUIRE(second->kind == lease::step_kind::acquire);
            CHECK(second->holder != first->holder);
        }
    }
    WHEN("the store can't be read until the grant would have lapsed")
    {
        lease::on_read_back(leader, tl::unexpected(error_with(result_code::store_unavailable)),
                            begin + 9s);
        THEN("the lease is acquired anew")
        {
            CHECK(lease::next_step(leader, begin + 10s)->kind == lease::step_kind::acquire);
        }
    }
}
