#include "http/request_share.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace gooseberrywood;

namespace
{

constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::size_t smallest_memory = 112 * megabyte;
constexpr std::size_t largest_body = 32 * megabyte;

/// Shares of one size, as many as the budgets grant.
std::vector<http::request_share> fill(http::memory_budgets const& budgets, std::size_t bytes)
{
    std::vector<http::request_share> shares;
    for (http::request_share share; http::reserve(budgets, share, bytes); share = {})
    {
        shares.push_back(share);
    }
    return shares;
}

} // namespace

SCENARIO("requests hold parts of the memory of the smallest host")
{
    auto const budgets = http::make_memory_budgets(smallest_memory);
    GIVEN("no other request")
    {
        // Guards against budgets in which what the configuration allows never fits.
        http::request_share share;
        CHECK(http::reserve(budgets, share, largest_body));
        AND_THEN("the longest response that may come for it fits, too")
        {
            CHECK(base::has_room(*budgets.responses, budgets.responses->max_bytes / 2));
        }
    }
    GIVEN("as many large requests as there is room for")
    {
        auto const large = fill(budgets, megabyte);
        http::request_share another;
        CHECK_FALSE(http::reserve(budgets, another, megabyte));
        CHECK(another.bytes == 0);
        THEN("short requests still find room")
        {
            // Guards against long requests that keep ordinary ones from being served.
            CHECK(fill(budgets, http::short_request_bytes).size() > 100);
        }
        AND_THEN("responses of upstreams still find room")
        {
            CHECK(base::has_room(*budgets.responses, 8 * megabyte));
        }
    }
    GIVEN("a short request that becomes a large one")
    {
        // Guards against bytes that are counted twice, or not returned.
        http::request_share share;
        REQUIRE(http::reserve(budgets, share, 1000));
        CHECK(budgets.large_requests->used_bytes == 0);
        REQUIRE(http::reserve(budgets, share, http::short_request_bytes));
        CHECK(budgets.large_requests->used_bytes == share.bytes);
        CHECK(budgets.process->used_bytes == share.bytes);
        http::release(budgets, share, http::short_request_bytes);
        CHECK(budgets.large_requests->used_bytes == 0);
        CHECK(budgets.process->used_bytes == 1000);
        http::release(budgets, share, 2000);
        CHECK(budgets.process->used_bytes == 0);
    }
    GIVEN("bytes that are held already")
    {
        // Guards against a count that stops at the limit while the bytes are there.
        http::request_share share;
        http::count_held(budgets, share, smallest_memory);
        CHECK(budgets.process->used_bytes == smallest_memory);
        http::request_share another;
        CHECK_FALSE(http::reserve(budgets, another, 1));
    }
}

SCENARIO("a response finds the budget full of stalled requests")
{
    // Guards against responses that are given up while clients that don't read hold the memory.
    auto const process = base::make_byte_budget(megabyte);
    auto const responses = base::make_byte_budget(megabyte, process);
    base::add_bytes(*process, megabyte);
    auto const share = base::open_share(responses, megabyte, [] {});
    GIVEN("a holder that can be made to release its bytes")
    {
        process->reclaim = [&]
        {
            bool const is_held = process->used_bytes >= megabyte;
            base::remove_bytes(*process, is_held ? megabyte : 0);
            return is_held;
        };
        CHECK(base::grow(*share, megabyte / 2) == base::growth::granted);
    }
    GIVEN("none")
    {
        CHECK(base::grow(*share, megabyte / 2) == base::growth::budget_full);
        CHECK(responses->used_bytes == 0);
        CHECK(process->used_bytes == megabyte);
    }
}
