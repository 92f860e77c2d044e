#include "routing/backoff.hpp"
#include "routing/retry_budget.hpp"
#include "routing/suspects.hpp"

#include "property.hpp"

#include <algorithm>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

base::mono_time const start{1h};

} // namespace

SCENARIO("retries are bounded and never beyond the deadline")
{
    // Guards against retries that multiply the load during an outage.
    test::check_property(
        "at most a tenth of the requests, and the floor",
        [](std::vector<std::uint16_t> const& gaps_ms)
        {
            routing::retry_budget budget;
            auto now = start;
            double requests = 0;
            double retries = 0;
            for (auto const gap : gaps_ms)
            {
                now += std::chrono::milliseconds(gap % 500);
                routing::record_request(budget);
                ++requests;
                while (routing::take_retry(budget, now))
                {
                    ++retries;
                }
                std::chrono::duration<double> const passed = now - start;
                RC_ASSERT(retries <= routing::retry_share * requests + routing::retry_tokens_floor +
                                         passed.count() * routing::retry_floor_per_second + 1e-6);
            }
        });
    GIVEN("a spent budget of an entry without traffic")
    {
        routing::retry_budget budget;
        while (routing::take_retry(budget, start))
        {
        }
        // One refill interval of the floor rate; the checks are half an interval off to either
        // side.
        auto const interval =
            base::duration(static_cast<std::int64_t>(1e6 / routing::retry_floor_per_second));
        THEN("the floor allows one retry an interval later, and not sooner")
        {
            CHECK_FALSE(routing::take_retry(budget, start + interval / 2));
            CHECK(routing::take_retry(budget, start + interval + interval / 2));
            CHECK_FALSE(routing::take_retry(budget, start + interval + interval / 2));
        }
    }
    test::check_property(
        "backoff lies between retry-after and the deadline",
        [](std::uint64_t seed, std::uint8_t retries, std::int32_t after_us, std::uint32_t left_us)
        {
            std::mt19937_64 random(seed);
            auto const not_before = start + base::duration(after_us);
            auto const deadline = start + base::duration(left_us);
            auto const at = routing::backoff(retries, start, not_before, deadline, random);
            if (at)
            {
                RC_ASSERT(*at >= start);
                RC_ASSERT(*at >= not_before);
                RC_ASSERT(*at < deadline);
                RC_ASSERT(*at <= std::max(start, not_before) + routing::backoff_max);
            }
            else
            {
                RC_ASSERT(std::max(start, not_before) + routing::backoff_max >= deadline);
            }
        });
}

SCENARIO("a request that crashes upstreams is isolated and then refused")
{
    routing::suspects known;
    std::vector<std::uint64_t> const first{11};
    std::vector<std::uint64_t> const second{22};
    auto const expiry = start + routing::suspect_lifetime;

    CHECK(routing::classify(known, 7, start) == routing::suspect_class::clear);
    CHECK(routing::merge_suspect(known, 7, first, expiry, start));
    CHECK(routing::classify(known, 7, start) == routing::suspect_class::suspect);
    // Guards against counting one crash twice because two agents or entries report it.
    CHECK_FALSE(routing::merge_suspect(known, 7, first, expiry, start + 1s));
    CHECK(routing::classify(known, 7, start + 1s) == routing::suspect_class::suspect);
    CHECK(routing::merge_suspect(known, 7, second, expiry + 2s, start + 2s));
    CHECK(routing::classify(known, 7, start + 2s) == routing::suspect_class::refused);
    CHECK(routing::classify(known, 7, expiry + 1s) == routing::suspect_class::refused);
    CHECK(routing::classify(known, 7, expiry + 2s) == routing::suspect_class::clear);
    CHECK(routing::crash_ids(known, 7, start + 2s) == std::vector<std::uint64_t>{11, 22});

    WHEN("an entry restarts and receives the marks from an agent")
    {
        routing::suspects restarted;
        for (auto const& mark : routing::valid_marks(known, start + 3s))
        {
            routing::merge_suspect(restarted, mark.fingerprint, mark.crash_ids, mark.expires_at,
                                   start + 3s);
        }
        THEN("the class of the request and its expiry are unchanged")
        {
            CHECK(routing::classify(restarted, 7, expiry + 1s) == routing::suspect_class::refused);
            CHECK(routing::classify(restarted, 7, expiry + 2s) == routing::suspect_class::clear);
        }
    }
    WHEN("the clock of a sender is far ahead")
    {
        routing::merge_suspect(known, 8, first, start + 24h, start);
        THEN("the mark still ends after its lifetime")
        {
            CHECK(routing::classify(known, 8, expiry) == routing::suspect_class::clear);
        }
    }
    WHEN("more marks arrive than can be stored")
    {
        for (std::uint64_t i = 0; i < 2 * routing::suspects_max; ++i)
        {
            auto const now = start + base::duration(i);
            routing::merge_suspect(known, 1000 + i, first, now + routing::suspect_lifetime, now);
        }
        THEN("memory is bounded and the newest marks are kept")
        {
            CHECK(known.marks.size() == routing::suspects_max);
            CHECK(known.by_expiry.size() == routing::suspects_max);
            CHECK(routing::classify(known, 1000 + 2 * routing::suspects_max - 1, start + 1s) ==
                  routing::suspect_class::suspect);
        }
    }
}
