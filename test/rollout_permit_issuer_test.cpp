#include "at_ms.hpp"
#include "rollout.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;

namespace
{

rollout::member_map make_members(std::initializer_list<char const*> hosts)
{
    rollout::member_map members;
    for (std::string const host : hosts)
    {
        members[host] = {host, 1, "127.0.0.1:1", 1, "d"};
    }
    return members;
}

} // namespace

SCENARIO("one gateway at a time issues the permits of an upstream")
{
    rollout::issuer_views views;
    rollout::note_members(views, make_members({"a", "b", "c"}), at_ms(0));
    std::string const issuer(rollout::issuer_of(views.back(), "u"));
    CHECK_FALSE(rollout::is_settled_issuer(views, "u", issuer, at_ms(1999)));
    CHECK(rollout::is_settled_issuer(views, "u", issuer, at_ms(2000)));
    CHECK_FALSE(rollout::is_settled_issuer(views, "u", "d", at_ms(2000)));
    WHEN("the issuer leaves")
    {
        auto members = make_members({"a", "b", "c"});
        members.erase(issuer);
        rollout::note_members(views, members, at_ms(5000));
        std::string const next(rollout::issuer_of(views.back(), "u"));
        THEN("its successor waits until all gateways know it")
        {
            CHECK_FALSE(rollout::is_settled_issuer(views, "u", next, at_ms(6999)));
            CHECK(rollout::is_settled_issuer(views, "u", next, at_ms(7000)));
        }
        THEN("it stops at once where it learns that it has left")
        {
            CHECK_FALSE(rollout::is_settled_issuer(views, "u", issuer, at_ms(5000)));
        }
        AND_WHEN("it comes back")
        {
            rollout::note_members(views, make_members({"a", "b", "c"}), at_ms(9000));
            THEN("it waits as well")
            {
                CHECK_FALSE(rollout::is_settled_issuer(views, "u", issuer, at_ms(10999)));
                CHECK(rollout::is_settled_issuer(views, "u", issuer, at_ms(11000)));
            }
        }
    }
    WHEN("another gateway leaves")
    {
        auto members = make_members({"a", "b", "c"});
        members.erase(issuer == "a" ? "b" : "a");
        rollout::note_members(views, members, at_ms(5000));
        THEN("the issuer goes on")
        {
            CHECK(rollout::is_settled_issuer(views, "u", issuer, at_ms(5000)));
        }
    }
    WHEN("all members are gone, as after an outage of the store")
    {
        rollout::note_members(views, {}, at_ms(5000));
        CHECK(rollout::issuer_of(views.back(), "u").empty());
        CHECK_FALSE(rollout::is_settled_issuer(views, "u", issuer, at_ms(9000)));
    }
    WHEN("members can't be connected to")
    {
        auto members = make_members({"a"});
        members["a"].peer_address.clear();
        rollout::note_members(views, members, at_ms(5000));
        CHECK(rollout::issuer_of(views.back(), "u").empty());
    }
}
