#include "http/memory_budget.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;

SCENARIO("large requests fill their part of the memory budget")
{
    http::memory_budget budget{4 * 1024 * 1024};
    http::memory_share first;
    http::memory_share second;
    REQUIRE(http::reserve(budget, first, 3 * 1024 * 1024));
    THEN("another large request finds no room, but a small one does")
    {
        // Guards against ordinary callers that are refused while large bodies are received.
        CHECK_FALSE(http::reserve(budget, second, 100 * 1024));
        CHECK(http::reserve(budget, second, http::small_request_bytes));
    }
    WHEN("a small request grows beyond the size of small ones")
    {
        REQUIRE(http::reserve(budget, second, http::small_request_bytes));
        THEN("it counts as a large one with all its bytes")
        {
            CHECK_FALSE(http::reserve(budget, second, 1));
            http::release(budget, first, 1024 * 1024);
            CHECK(http::reserve(budget, second, 1));
        }
    }
    WHEN("both have ended")
    {
        REQUIRE(http::reserve(budget, second, http::small_request_bytes));
        http::release(budget, first, first.bytes);
        http::release(budget, second, second.bytes);
        THEN("nothing is reserved")
        {
            // Guards against a budget that shrinks with each request until all are refused.
            CHECK(budget.reserved == 0);
            CHECK(budget.reserved_large == 0);
        }
    }
}
