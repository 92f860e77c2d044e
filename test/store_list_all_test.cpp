#include "store/list_all.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace gooseberrywood;

SCENARIO("a list is read page by page")
{
    std::vector<std::string> requested_after;
    bool second_page_fails = false;
    store::client client;
    client.list = [&](std::string const&, std::string const& after, base::mono_time,
                      store::done<store::page> const& on_done)
    {
        requested_after.push_back(after);
        if (second_page_fails && !after.empty())
        {
            on_done(base::fail(base::result_code::store_unavailable, "down"));
            return;
        }
        on_done(after.empty() ? store::page{{{"k1", "a", 1}, {"k2", "b", 2}}, true}
                              : store::page{{{"k3", "c", 3}}, false});
    };
    std::optional<base::result<std::vector<store::item>>> outcome;
    auto const store_outcome = [&](auto result)
    {
        outcome = std::move(result);
    };
    WHEN("all pages are returned")
    {
        store::list_all(client, "k", "", {}, store_outcome);
        THEN("the result holds the items of all pages")
        {
            CHECK(requested_after == std::vector<std::string>{"", "k2"});
            REQUIRE(outcome->has_value());
            CHECK((*outcome)->size() == 3);
        }
    }
    WHEN("a later page fails")
    {
        second_page_fails = true;
        store::list_all(client, "k", "", {}, store_outcome);
        THEN("the call fails, since a partial list looks like a complete one")
        {
            CHECK_FALSE(outcome->has_value());
        }
    }
}
