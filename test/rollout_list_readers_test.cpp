#include "rollout/list_readers.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace gooseberrywood;

namespace
{

void add(rollout::member_map& members, std::string const& host, std::string const& domain,
         double processors)
{
    members[host] = {host, 1, "127.0.0.1:1", processors, domain};
}

/// Five failure domains with three strong and fourteen weak gateways each.
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
    for (auto const* member : members)
    {
        hosts.insert(member->host);
    }
    return hosts;
}

} // namespace

SCENARIO("in a large deployment a few gateways read the lists for all others")
{
    auto members = large_deployment();
    auto const readers = rollout::list_readers(members);
    THEN("one strong gateway of each failure domain reads the store")
    {
        CHECK(hosts_of(readers) == std::set<std::string>{"d1-0", "d2-0", "d3-0", "d4-0", "d5-0"});
    }
    THEN("the others ask the reader of their own domain first, and then any other reader")
    {
        auto const asked = rollout::readers_to_ask(members, "d3-9", "d3");
        REQUIRE(asked.size() == 5);
        CHECK(asked.front()->host == "d3-0");
    }
    THEN("a reader asks no other gateway")
    {
        CHECK(rollout::readers_to_ask(members, "d3-0", "d3").empty());
    }
    WHEN("a reader is removed")
    {
        members.erase("d3-0");
        THEN("another strong gateway of its domain replaces it")
        {
            CHECK(hosts_of(rollout::list_readers(members)).contains("d3-1"));
        }
        THEN("the second choices of the gateways in its domain are spread over the other readers")
        {
            // They ask these readers until they know the new reader of their domain.
            std::set<std::string> second;
            for (int i = 3; i < 17; ++i)
            {
                auto const host = "d3-" + std::to_string(i);
                second.insert(rollout::readers_to_ask(members, host, "d3").at(1)->host);
            }
            CHECK(second.size() > 1);
        }
    }
    WHEN("the strong gateways accept no connections")
    {
        for (auto& [host, member] : members)
        {
            member.peer_address = member.processors > 0.1 ? "" : member.peer_address;
        }
        THEN("weak gateways are the readers")
        {
            auto const weak_readers = rollout::list_readers(members);
            CHECK(weak_readers.size() == 5);
            CHECK(std::all_of(weak_readers.begin(), weak_readers.end(),
                              [](rollout::member const* reader)
                              { return reader->processors < 0.1; }));
        }
    }
}

SCENARIO("in a small deployment one gateway reads the lists for all others")
{
    rollout::member_map members;
    CHECK(rollout::list_readers(members).empty());
    add(members, "a", "d1", 0.2);
    add(members, "b", "d2", 0.2);
    add(members, "c", "d3", 0.2);
    THEN("one gateway is the reader")
    {
        CHECK(rollout::list_readers(members).size() == 1);
        CHECK(rollout::readers_to_ask(members, "c", "d3").at(0)->host == "a");
    }
    THEN("a gateway that is not a member yet asks it too")
    {
        CHECK(rollout::readers_to_ask(members, "x", "d9").size() == 1);
    }
}
