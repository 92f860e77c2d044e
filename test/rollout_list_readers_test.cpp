#include "rollout/list_readers.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace gooseberrywood;

namespace
{

void add(rollout::member_map& to, std::string const& host, std::string const& domain,
         double processors)
{
    to[host] = {host, 1, "127.0.0.1:1", processors, domain};
}

/// Five failure domains with some strong and many weak gateways each.
rollout::member_map large_deployment()
{
    rollout::member_map members;
    for (std::string const domain : {"d1", "d2", "d3", "d4", "d5"})
    {
        for (int i = 0; i < 17; ++i)
        {
            add(members, domain + "-" + std::to_string(i), domain, i < 3 ? 0.5 : 0.09);
        }
    }
    return members;
}

std::set<std::string> hosts_of(std::vector<rollout::member const*> const& members)
{
    std::set<std::string> hosts;
    for (auto const* one : members)
    {
        hosts.insert(one->host);
    }
    return hosts;
}

} // namespace

SCENARIO("a hundred gateways read the same lists every second")
{
    auto members = large_deployment();
    auto const readers = rollout::list_readers(members);
    THEN("one strong gateway of each failure domain reads the store")
    {
        CHECK(hosts_of(readers) == std::set<std::string>{"d1-0", "d2-0", "d3-0", "d4-0", "d5-0"});
    }
    THEN("the others ask the one of their own domain first, and may ask any")
    {
        auto const asked = rollout::readers_to_ask(members, "d3-9", "d3");
        REQUIRE(asked.size() == 5);
        CHECK(asked.front()->host == "d3-0");
    }
    THEN("a reader asks nobody")
    {
        CHECK(rollout::readers_to_ask(members, "d3-0", "d3").empty());
    }
    WHEN("a reader is gone")
    {
        members.erase("d3-0");
        THEN("another strong one of its domain takes its place")
        {
            CHECK(hosts_of(rollout::list_readers(members)).contains("d3-1"));
        }
        THEN("gateways of that domain spread over the other readers until they know it")
        {
            std::set<std::string> second;
            for (int i = 3; i < 17; ++i)
            {
                auto const host = "d3-" + std::to_string(i);
                second.insert(rollout::readers_to_ask(members, host, "d3").at(1)->host);
            }
            CHECK(second.size() > 1);
        }
    }
    WHEN("the strong ones can't be connected to")
    {
        for (auto& [host, one] : members)
        {
            one.peer_address = one.processors > 0.1 ? "" : one.peer_address;
        }
        THEN("others read")
        {
            auto const others = rollout::list_readers(members);
            CHECK(others.size() == 5);
            CHECK(std::all_of(others.begin(), others.end(),
                              [](rollout::member const* one) { return one->processors < 0.1; }));
        }
    }
}

SCENARIO("a few gateways read the same lists")
{
    rollout::member_map members;
    CHECK(rollout::list_readers(members).empty());
    add(members, "a", "d1", 0.2);
    add(members, "b", "d2", 0.2);
    add(members, "c", "d3", 0.2);
    THEN("one of them reads for all")
    {
        CHECK(rollout::list_readers(members).size() == 1);
        CHECK(rollout::readers_to_ask(members, "c", "d3").at(0)->host == "a");
    }
    THEN("a gateway that is no member yet asks it too")
    {
        CHECK(rollout::readers_to_ask(members, "x", "d9").size() == 1);
    }
}
