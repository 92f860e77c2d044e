#include "admission/credit_shares.hpp"
#include "admission/limiter.hpp"

#include "property.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <random>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using admission::attempt_outcome;
using admission::limit_change;

namespace
{

constexpr base::mono_time start_time{1000s};

/// Upstream on a virtual clock that always runs as many requests as its limit allows.
struct busy_upstream
{
    admission::limiter limiter =
        admission::make_limiter({.fresh_limit = 2, .max_limit = 16, .warm_up = 10s}, start_time);
    base::mono_time now = start_time;

    /// Runs batches with as many streams as the limit allows.
    /// \param token_us time per token as a function of the number of concurrent streams.
    /// \returns number of limit changes of the counted kind.
    int run(int batches, std::function<double(std::uint32_t)> const& token_us,
            limit_change counted = limit_change::decreased, std::uint32_t tokens = 100)
    {
        int changes = 0;
        for (int i = 0; i < batches; ++i)
        {
            auto const began = now;
            while (can_start(limiter, now))
            {
                start(limiter, now);
            }
            auto const streams = limiter.running;
            auto const token =
                base::duration(static_cast<std::int64_t>(token_us(std::max(streams, 1U))));
            now += token * tokens;
            for (std::uint32_t stream = 0; stream < streams; ++stream)
            {
                admission::latency_sample const sample{began, token * 4, token * tokens, tokens,
                                                       100};
                changes +=
                    finish(limiter, sample, attempt_outcome::completed, now) == counted ? 1 : 0;
            }
        }
        return changes;
    }

    std::uint32_t current() const
    {
        return limit(limiter, now);
    }
};

double steady(std::uint32_t)
{
    return 10'000;
}

} // namespace

SCENARIO("the limit of a fresh upstream rises within the envelope")
{
    busy_upstream upstream;
    THEN("its limit starts at the fresh limit and reaches the largest one when it is warm")
    {
        CHECK(upstream.current() == 2);
        CHECK(envelope(upstream.limiter, start_time + 5s) == 9);
        upstream.run(20, steady);
        CHECK(upstream.current() == 16);
    }
    GIVEN("a crash of the warm upstream")
    {
        upstream.run(20, steady);
        upstream.limiter.running = 0;
        restart(upstream.limiter, upstream.now);
        THEN("it is fresh again")
        {
            CHECK(upstream.current() == 2);
            CHECK(envelope(upstream.limiter, upstream.now + 5s) == 9);
        }
    }
    GIVEN("settings that would stop the upstream for ever")
    {
        apply_settings(upstream.limiter, {.fresh_limit = 0, .max_limit = 0});
        THEN("one request may run, so that completions can raise the limit")
        {
            CHECK(upstream.current() == 1);
        }
    }
}

SCENARIO("the limit follows latency and errors")
{
    busy_upstream upstream;
    upstream.run(40, steady);
    REQUIRE(upstream.current() == 16);

    WHEN("more than six streams at once become slow")
    {
        auto const overload = [](std::uint32_t streams)
        {
            return streams > 6 ? 10'000.0 * streams / 2 : 10'000.0;
        };
        upstream.run(60, overload);
        THEN("the limit settles near six, and rises again after the overload")
        {
            CHECK(upstream.current() >= 4);
            CHECK(upstream.current() <= 9);
            upstream.run(200, steady);
            CHECK(upstream.current() == 16);
        }
    }
    WHEN("six streams are the capacity, and more share it, for days")
    {
        apply_settings(upstream.limiter, {.fresh_limit = 2, .max_limit = 64, .warm_up = 10s});
        auto const shared = [](std::uint32_t streams)
        {
            return 10'000.0 * std::max(1.0, streams / 6.0);
        };
        std::uint32_t highest = 0;
        std::uint32_t lowest = 64;
        for (int i = 0; i < 20'000; ++i)
        {
            upstream.run(5, shared);
            highest = std::max(highest, upstream.current());
            lowest = std::min(lowest, upstream.current());
        }
        THEN("the limit stays near the overload multiple of the capacity")
        {
            // Guards against a baseline that rises until the overload counts as normal.
            CHECK(upstream.now - start_time > 48h);
            CHECK(highest <= 20);
            CHECK(lowest >= 6);
        }
    }
    WHEN("answers become forty times longer")
    {
        THEN("the limit stays, since the time of a token is the same")
        {
            CHECK(upstream.run(40, steady, limit_change::decreased, 4000) == 0);
            CHECK(upstream.current() == 16);
        }
    }
    WHEN("a batch of requests is refused for overload")
    {
        for (int i = 0; i < 8; ++i)
        {
            start(upstream.limiter, upstream.now);
        }
        admission::latency_sample const sample{.started_at = upstream.now};
        for (int i = 0; i < 8; ++i)
        {
            upstream.now += 1ms;
            finish(upstream.limiter, sample, attempt_outcome::overloaded, upstream.now);
        }
        THEN("it counts as one overload, not as eight")
        {
            CHECK(upstream.current() == 11);
        }
    }
    WHEN("the warm upstream becomes cold")
    {
        auto const cold = [](std::uint32_t)
        {
            return 80'000.0;
        };
        THEN("the envelope restarts, and not again before it is warm")
        {
            CHECK(upstream.run(1, cold, limit_change::restarted) == 1);
            CHECK(upstream.current() == 2);
            CHECK(envelope(upstream.limiter, upstream.now) == 2);
            CHECK(upstream.run(1, cold, limit_change::restarted) == 0);
        }
    }
    WHEN("the upstream becomes permanently slower, with a larger model")
    {
        auto const larger = [](std::uint32_t)
        {
            return 80'000.0;
        };
        upstream.run(150, larger);
        THEN("its latency is accepted after some minutes")
        {
            CHECK(upstream.now - start_time < 30min);
            CHECK(upstream.current() == 16);
        }
    }
    WHEN("half of the prompts come from the prefix cache")
    {
        // Guards against taking the usual mix of cached and uncached prompts for an overload or for
        // a cold upstream: half of the first tokens arrive 20 times as fast.
        std::mt19937_64 generator(7);
        int decreases = 0;
        int restarts = 0;
        std::uint64_t sum = 0;
        for (int i = 0; i < 5000; ++i)
        {
            start(upstream.limiter, upstream.now);
            auto const began = upstream.now;
            upstream.now += 200ms;
            bool const cached = generator() % 2 == 0;
            upstream.limiter.running += 7;
            auto const change =
                finish(upstream.limiter, {began, cached ? 10ms : 200ms, 1s, 80, 1000},
                       attempt_outcome::completed, upstream.now);
            upstream.limiter.running -= 7;
            decreases += change == limit_change::decreased ? 1 : 0;
            restarts += change == limit_change::restarted ? 1 : 0;
            sum += upstream.current();
        }
        THEN("the limit stays high")
        {
            CHECK(restarts == 0);
            CHECK(decreases < 50);
            CHECK(sum / 5000 >= 12);
        }
    }
}

// Guards against overloading a fresh upstream, whatever the latencies, errors, crashes and pauses.
TEST_CASE("running requests never exceed the envelope when one starts")
{
    test::check_property(
        "the envelope is recomputed from the last restart",
        [](std::uint32_t seed)
        {
            std::mt19937_64 generator(seed);
            auto const below = [&](std::uint32_t bound)
            {
                return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(generator);
            };
            auto now = start_time;
            auto since = now;
            std::int64_t const fresh = 1 + below(4);
            std::int64_t const most = fresh + below(60);
            auto limiter =
                admission::make_limiter({.fresh_limit = static_cast<std::uint32_t>(fresh),
                                         .max_limit = static_cast<std::uint32_t>(most),
                                         .warm_up = 60s},
                                        now);
            for (int step = 0; step < 5000; ++step)
            {
                now += base::duration(below(200'000));
                if (below(1000) == 0)
                {
                    limiter.running = 0;
                    restart(limiter, now);
                    since = now;
                }
                else if (below(2) == 0 && can_start(limiter, now))
                {
                    start(limiter, now);
                    auto const part = std::min<std::int64_t>((now - since).count(), 60'000'000);
                    auto const bound = fresh + (most - fresh) * part / 60'000'000;
                    RC_ASSERT(limiter.running <= bound);
                }
                else if (limiter.running > 0)
                {
                    base::duration const total(below(10) == 0 ? below(5'000'000) : 100'000);
                    auto const outcome =
                        below(50) == 0 ? attempt_outcome::overloaded : attempt_outcome::completed;
                    if (finish(limiter, {now - total, 0ms, total}, outcome, now) ==
                        limit_change::restarted)
                    {
                        since = now;
                    }
                    RC_ASSERT(admission::limit(limiter, now) >= 1);
                }
            }
        });
}

SCENARIO("credit follows demand without oscillation")
{
    admission::credit_shares shares;
    for (std::uint64_t entry = 1; entry <= 4; ++entry)
    {
        connect(shares, entry);
    }
    auto const offer = [&](std::uint64_t entry, std::uint32_t count)
    {
        for (std::uint32_t i = 0; i < count; ++i)
        {
            count_offer(shares, entry);
        }
        for (std::uint32_t i = 0; i < count; ++i)
        {
            count_end(shares, entry);
        }
    };
    auto const sum = [&]
    {
        return std::accumulate(shares.entries.begin(), shares.entries.end(), 0U,
                               [](std::uint32_t total, auto const& entry)
                               { return total + entry.second.share; });
    };
    REQUIRE(rebalance(shares, 20).size() == 4);
    CHECK(sum() == 40);
    CHECK(shares.entries.at(1).share == 10);

    GIVEN("an entry that uses its whole share while the others need little")
    {
        for (int i = 0; i < 20; ++i)
        {
            offer(1, shares.entries.at(1).share);
            offer(2, 3);
            (void)rebalance(shares, 20);
        }
        THEN("it gets most of the credit, the others keep at least one, the sum stays")
        {
            CHECK(shares.entries.at(1).share >= 28);
            CHECK(shares.entries.at(2).share >= 3);
            CHECK(shares.entries.at(3).share >= 1);
            CHECK(sum() == 40);
        }
        THEN("a second entry that becomes busy soon gets as much")
        {
            for (int i = 0; i < 20; ++i)
            {
                offer(1, shares.entries.at(1).share);
                offer(2, shares.entries.at(2).share);
                (void)rebalance(shares, 20);
            }
            CHECK(shares.entries.at(2).share + 4 >= shares.entries.at(1).share);
        }
    }
    GIVEN("demand that fluctuates by one request")
    {
        for (int i = 0; i < 10; ++i)
        {
            offer(1, 8);
            offer(2, 8);
            (void)rebalance(shares, 20);
        }
        THEN("no share changes")
        {
            std::size_t changes = 0;
            for (std::uint32_t i = 0; i < 100; ++i)
            {
                offer(1, 8 + i / 4 % 2);
                offer(2, 9 - i / 4 % 2);
                changes += rebalance(shares, 20).size();
            }
            CHECK(changes == 0);
        }
    }
    GIVEN("more entries than credit")
    {
        THEN("each entry keeps one, so that none is starved")
        {
            (void)rebalance(shares, 1);
            CHECK(sum() == 4);
        }
    }
    GIVEN("an entry that leaves")
    {
        disconnect(shares, 4);
        THEN("its credit goes to the others at once")
        {
            (void)rebalance(shares, 20);
            CHECK(sum() == 40);
        }
    }
}
