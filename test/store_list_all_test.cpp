#include "store/list_all.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace gooseberrywood;

SCENARIO("a list is read page by page")
{
    std::vector<std::string> asked_after;
    bool fails_at_second = false;
    store::client client;
    client.list = [&](std::string const&, std::string const& after, base::mono_time,
                      store::done<store::page> const& then)
    {
        asked_after.push_back(after);
        if (fails_at_second && !after.empty())
        {
            then(base::fail(base::result_code::store_unavailable, "down"));
            return;
        }
        then(after.empty() ? store::page{{{"k1", "a", 1}, {"k2", "b", 2}}, true}
                           : store::page{{{"k3", "c", 3}}, false});
    };
    std::optional<base::result<std::vector<store::item>>> outcome;
    auto const take = [&](auto read)
    {
        outcome = std::move(read);
    };
    WHEN("all pages are answered")
    {
        store::list_all(client, "k", "", {}, take);
        THEN("the items are joined")
        {
            CHECK(asked_after == std::vector<std::string>{"", "k2"});
            REQUIRE(outcome->has_value());
            CHECK((*outcome)->size() == 3);
        }
    }
    WHEN("a later page is not answered")
    {
        fails_at_second = true;
        store::list_all(client, "k", "", {}, take);
        THEN("nothing is returned, since a part of a list looks like a list")
        {
            CHECK_FALSE(outcome->has_value());
        }
    }
}
