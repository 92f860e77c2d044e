#include "base/byte_budget.hpp"
#include "property.hpp"
#include "run_loop.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <vector>

using namespace gooseberrywood;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t large = 2 * base::min_evicted_bytes;

/// A holder of bytes, which releases them when its share was evicted.
struct holder
{
    std::shared_ptr<base::byte_share> share;
    /// Bytes that were granted, as the holder counts them.
    std::size_t held = 0;
    bool is_evicted = false;
};

std::unique_ptr<holder> make_holder(std::shared_ptr<base::byte_budget> const& budget,
                                    std::size_t max_bytes)
{
    auto made = std::make_unique<holder>();
    auto* const of = made.get();
    of->share = base::open_share(budget, max_bytes,
                                 [of]
                                 {
                                     of->is_evicted = true;
                                     of->held = 0;
                                     of->share.reset();
                                 });
    return made;
}

} // namespace

SCENARIO("a budget is used up")
{
    // Guards against a holder that grows without end and keeps small ones from being served.
    auto const budget = base::make_byte_budget(4 * large);
    auto const first = make_holder(budget, 100 * large);
    auto const second = make_holder(budget, 100 * large);
    REQUIRE(base::grow(*first->share, 3 * large) == base::growth::granted);
    REQUIRE(base::grow(*second->share, large) == base::growth::granted);
    WHEN("a small holder needs bytes")
    {
        auto const small = make_holder(budget, large);
        CHECK(base::grow(*small->share, kilobyte) == base::growth::granted);
        CHECK_FALSE(first->share->is_evicted);
    }
    WHEN("the smaller one of two large holders grows")
    {
        CHECK(base::grow(*second->share, large) == base::growth::granted);
        CHECK(budget->used_bytes == 2 * large);
        CHECK(test::run_until([&] { return first->is_evicted; }));
    }
    WHEN("the largest holder grows")
    {
        CHECK(base::grow(*first->share, 1) == base::growth::budget_full);
        CHECK(base::grow(*first->share, 1) == base::growth::budget_full);
        CHECK(budget->used_bytes == large);
    }
    WHEN("the largest holder is complete and retained")
    {
        base::retain(*first->share);
        CHECK(base::grow(*second->share, 1) == base::growth::budget_full);
        CHECK(budget->used_bytes == 3 * large);
    }
    WHEN("a holder exceeds its own maximum")
    {
        auto const bounded = make_holder(budget, 2 * kilobyte);
        CHECK(base::grow(*bounded->share, 2 * kilobyte) == base::growth::granted);
        CHECK(base::grow(*bounded->share, 1) == base::growth::share_full);
    }
    first->share.reset();
    second->share.reset();
    CHECK(budget->used_bytes == 0);
    CHECK(budget->evictable.empty());
}

SCENARIO("holders grow and end in any order")
{
    // Guards against bytes that stay counted, or are not counted, after some order of events.
    test::check_property(
        "the budget holds, and its count is that of its holders",
        []
        {
            auto const budget = base::make_byte_budget(8 * large);
            std::vector<std::unique_ptr<holder>> holders;
            auto const steps =
                *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(rc::gen::pair(
                    rc::gen::inRange(0, 12), rc::gen::inRange<std::size_t>(0, 3 * large)));
            for (auto const& [what, amount] : steps)
            {
                if (holders.size() < 4 || what == 0)
                {
                    holders.push_back(make_holder(budget, 6 * large));
                }
                auto& one = *holders[amount % holders.size()];
                if (what == 1)
                {
                    one.share.reset();
                    one.held = 0;
                }
                else if (one.share)
                {
                    bool const is_granted = base::grow(*one.share, amount) == base::growth::granted;
                    one.held = is_granted ? one.held + amount : 0;
                }
                while (g_main_context_iteration(nullptr, FALSE) != 0)
                {
                }
                auto const held = std::accumulate(holders.begin(), holders.end(), std::size_t{0},
                                                  [](std::size_t sum, auto const& each)
                                                  { return sum + each->held; });
                RC_ASSERT(budget->used_bytes == held);
                RC_ASSERT(held <= 8 * large + holders.size() * base::min_evicted_bytes);
            }
            holders.clear();
            RC_ASSERT(budget->used_bytes == 0U);
            RC_ASSERT(budget->evictable.empty());
        });
}
