#include "fleet.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;

namespace
{

fleet::route make_route(std::string name, std::string host, std::string prefix)
{
    fleet::route route;
    route.name = std::move(name);
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    route.services = {{"engines", 1}};
    return route;
}

} // namespace

SCENARIO("the route and the team of a request are found")
{
    GIVEN("two hosts, one with nested prefixes, and a team with two keys")
    {
        fleet::configuration configuration;
        configuration.routes = {make_route("all", "a.example", "/x/"),
                                make_route("part", "a.example", "/x/y/"),
                                make_route("other", "b.example", "/x/")};
        configuration.teams = std::vector<fleet::team>{{"lepoglava", {"key-1", "key-2"}}};
        fleet::build_indexes(configuration);
        THEN("the longest prefix of the host wins")
        {
            CHECK(fleet::find_route(configuration, "a.example", "/x/y/z")->name == "part");
            CHECK(fleet::find_route(configuration, "a.example", "/x/z")->name == "all");
            CHECK(fleet::find_route(configuration, "b.example", "/x/y/z")->name == "other");
        }
        THEN("a port in the host is ignored")
        {
            CHECK(fleet::find_route(configuration, "a.example:8405", "/x/z")->name == "all");
        }
        THEN("a path or host that matches no route has none")
        {
            CHECK(fleet::find_route(configuration, "a.example", "/xy") == nullptr);
            CHECK(fleet::find_route(configuration, "c.example", "/x/") == nullptr);
        }
        THEN("each key yields its team, and an unknown key yields none")
        {
            CHECK(*fleet::find_team(configuration, "key-2") == "lepoglava");
            CHECK(fleet::find_team(configuration, "key-3") == nullptr);
        }
        WHEN("a newer configuration without one of the keys is indexed")
        {
            configuration.teams = std::vector<fleet::team>{{"lepoglava", {"key-2"}}};
            fleet::build_indexes(configuration);
            THEN("the withdrawn key is unknown")
            {
                CHECK(fleet::find_team(configuration, "key-1") == nullptr);
            }
        }
    }
    GIVEN("a route whose requests are split between two services")
    {
        auto route = make_route("split", "a.example", "/x/");
        route.services = {{"old", 9}, {"new", 1}};
        THEN("an id always yields the same service, and ids are spread by weight")
        {
            int to_new = 0;
            for (int i = 0; i < 1000; ++i)
            {
                auto const id = std::to_string(i);
                CHECK(fleet::service_for_request(route, id) ==
                      fleet::service_for_request(route, id));
                to_new += fleet::service_for_request(route, id) == "new" ? 1 : 0;
            }
            CHECK(to_new > 60);
            CHECK(to_new < 150);
        }
    }
}
