#include "admission/claims.hpp"
#include "admission/ledger.hpp"

#include "property.hpp"

#include <map>
#include <random>
#include <set>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using base::result_code;

namespace
{

constexpr base::mono_time start_time{1000s};

/// Reference implementation: keeps every attempt for ever, so that it knows which ones ran.
struct naive_ledger
{
    std::set<std::pair<base::request_id, std::uint32_t>> started;
    /// Attempts that were reported as not run.
    std::set<std::pair<base::request_id, std::uint32_t>> reported_not_run;

    bool started_up_to(base::request_id const& id, std::uint32_t attempt) const
    {
        auto const first = started.lower_bound({id, 0});
        return first != started.end() && first->first == id && first->second <= attempt;
    }
};

/// Source of random numbers below a bound. Long runs use a generator whose seed is the property's
/// argument, since RapidCheck keeps all its own draws in memory for shrinking.
struct random_source
{
    std::mt19937_64 generator;

    std::uint32_t below(std::uint32_t bound)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(generator);
    }
};

} // namespace

SCENARIO("a ledger decides which starts may run")
{
    admission::ledger attempts;
    base::request_id const id{1, 2};
    auto const deadline = start_time + 30s;
    REQUIRE(admit(attempts, id, 1, false, deadline, start_time).code == result_code::ok);

    GIVEN("a running attempt")
    {
        REQUIRE(mark_running(attempts, id, 1));
        THEN("a copy of its start is refused without a false \"not run\"")
        {
            auto const admitted = admit(attempts, id, 1, false, deadline, start_time);
            CHECK(admitted.code == result_code::duplicate_attempt);
            CHECK_FALSE(admitted.not_run);
        }
        THEN("a further attempt is refused, since the request is not idempotent")
        {
            auto const admitted = admit(attempts, id, 2, false, deadline, start_time);
            CHECK(admitted.code == result_code::duplicate_attempt);
            CHECK_FALSE(admitted.not_run);
        }
        THEN("a fence reports that it started, also after its end")
        {
            CHECK(fence(attempts, id, 1, start_time));
            mark_done(attempts, id, 1);
            CHECK(fence(attempts, id, 2, start_time));
        }
        THEN("it is kept beyond its horizon, so that its end finds it")
        {
            expire(attempts, deadline + 10min);
            CHECK(find(attempts, id) != nullptr);
        }
    }
    GIVEN("a fence that overtakes a start")
    {
        base::request_id const late{3, 4};
        CHECK_FALSE(fence(attempts, late, 2, start_time));
        THEN("the fenced attempts are refused as not run and a later one is accepted")
        {
            auto const admitted = admit(attempts, late, 2, false, deadline, start_time);
            CHECK(admitted.code == result_code::fenced);
            CHECK(admitted.not_run);
            CHECK(admit(attempts, late, 3, false, deadline, start_time).code == result_code::ok);
        }
        THEN("the tombstone outlasts the longest request, since a fence carries no deadline")
        {
            expire(attempts, start_time + attempts.settings.longest_request);
            CHECK(find(attempts, late) != nullptr);
        }
    }
    GIVEN("a refused attempt")
    {
        REQUIRE(write_tombstone(attempts, id, 1, deadline, start_time));
        THEN("it can no longer start from the queue")
        {
            CHECK_FALSE(mark_running(attempts, id, 1));
        }
    }
    GIVEN("a start whose deadline has passed")
    {
        THEN("it is refused: as not run while the ledger would know of a copy")
        {
            auto const admitted = admit(attempts, {5, 5}, 1, true, start_time - 1s, start_time);
            CHECK(admitted.code == result_code::deadline_passed);
            CHECK(admitted.not_run);
        }
        THEN(
            "it is refused without \"not run\" past its horizon, when a copy may have been removed")
        {
            CHECK_FALSE(admit(attempts, {5, 5}, 1, true, start_time - 61s, start_time).not_run);
        }
    }
}

SCENARIO("a full ledger refuses new work rather than evict an entry")
{
    admission::ledger attempts;
    attempts.settings.max_entries = 10;
    attempts.settings.tombstone_reserve = 2;
    auto const deadline = start_time + 30s;
    std::uint64_t number = 0;
    while (!is_full(attempts))
    {
        REQUIRE(admit(attempts, {++number, 0}, 1, true, deadline, start_time).code ==
                result_code::ok);
    }
    CHECK(number == 8);
    THEN("it reports \"not run\" until the reserve is used up")
    {
        CHECK(admit(attempts, {100, 0}, 1, true, deadline, start_time).not_run);
        CHECK(admit(attempts, {101, 0}, 1, true, deadline, start_time).not_run);
        auto const admitted = admit(attempts, {102, 0}, 1, true, deadline, start_time);
        CHECK(admitted.code == result_code::ledger_full);
        CHECK_FALSE(admitted.not_run);
        CHECK(fence(attempts, {103, 0}, 1, start_time));
        CHECK(find(attempts, {1, 0}) != nullptr);
    }
    THEN("there is room again once attempts ended and their horizons passed")
    {
        for (std::uint64_t i = 1; i <= number; ++i)
        {
            REQUIRE(mark_running(attempts, {i, 0}, 1));
            mark_done(attempts, {i, 0}, 1);
        }
        expire(attempts, deadline + admission::horizon_margin - 1s);
        CHECK(attempts.entries.size() == 8);
        expire(attempts, deadline + admission::horizon_margin + 2s);
        CHECK(attempts.entries.empty());
    }
}

// Guards against running an attempt twice, running one that was reported as not run, and running a
// second attempt of a request that is not idempotent, for any order of duplicates, fences and
// expiries.
TEST_CASE("the ledger never contradicts which attempts ran")
{
    test::check_property(
        "compared with a ledger that keeps every attempt",
        [](std::uint32_t seed)
        {
            admission::ledger attempts;
            attempts.settings = {12, 3, 20s};
            naive_ledger reference;
            auto now = start_time;
            // The deadline belongs to the request and is within `longest_request` of its sending.
            std::map<base::request_id, base::mono_time> deadlines;
            std::vector<std::pair<base::request_id, std::uint32_t>> running;
            random_source random{std::mt19937_64(seed)};
            for (std::uint32_t step = 0; step < 3000; ++step)
            {
                now += std::chrono::milliseconds(random.below(500));
                // Eight requests are active at a time, each for 120 steps (30 s). A few late frames
                // belong to a request of up to 4 min ago.
                auto const age = random.below(16) == 0 ? random.below(17) : 0;
                base::request_id const id{(step / 60 + 20 - age) * 4 + random.below(8), 0};
                // Even requests are idempotent.
                bool const idempotent = id.high % 2 == 0;
                auto const attempt = random.below(6);
                auto const deadline = deadlines.try_emplace(id, now + 20s).first->second;
                std::pair const key{id, attempt};
                switch (random.below(5))
                {
                case 0:
                {
                    auto const admitted = admit(attempts, id, attempt, idempotent, deadline, now);
                    RC_ASSERT((admitted.code == result_code::ok) <= (now < deadline));
                    if (admitted.not_run)
                    {
                        RC_ASSERT(!reference.started.contains(key));
                        reference.reported_not_run.insert(key);
                    }
                    break;
                }
                case 1:
                    if (mark_running(attempts, id, attempt))
                    {
                        RC_ASSERT(!reference.reported_not_run.contains(key));
                        RC_ASSERT(idempotent || !reference.started_up_to(id, 100));
                        RC_ASSERT(reference.started.insert(key).second);
                        running.push_back(key);
                    }
                    break;
                case 2:
                    if (!running.empty())
                    {
                        mark_done(attempts, running.back().first, running.back().second);
                        running.pop_back();
                    }
                    break;
                case 3:
                    // Entries fence only requests whose deadline has not passed.
                    if (now < deadline && !fence(attempts, id, attempt, now))
                    {
                        RC_ASSERT(!reference.started_up_to(id, attempt));
                        for (std::uint32_t i = 0; i <= attempt; ++i)
                        {
                            reference.reported_not_run.insert({id, i});
                        }
                    }
                    break;
                default:
                    if (write_tombstone(attempts, id, attempt, deadline, now))
                    {
                        RC_ASSERT(!reference.started.contains(key));
                        reference.reported_not_run.insert(key);
                    }
                }
                RC_ASSERT(attempts.entries.size() <= attempts.settings.max_entries);
            }
        });
}

// Guards against granting one Idempotency-Key to two executions, and against a table that exceeds
// its bound or removes claims early.
TEST_CASE("claims agree with a reference implementation")
{
    test::check_property(
        "one claimer per horizon",
        [](std::uint32_t seed)
        {
            admission::claims table;
            table.max_claims = 6;
            std::map<base::request_id, admission::claim_record> reference;
            auto now = start_time;
            random_source random{std::mt19937_64(seed)};
            for (int step = 0; step < 2000; ++step)
            {
                now += std::chrono::milliseconds(random.below(30'000));
                base::request_id const id{random.below(8), 0};
                auto const token = random.below(3);
                auto const deadline = now + std::chrono::seconds(random.below(1220)) - 20s;
                auto const status = claim(table, id, token, deadline, now);
                std::erase_if(reference,
                              [&](auto const& record) { return record.second.horizon <= now; });
                auto const found = reference.find(id);
                auto const horizon = deadline + admission::horizon_margin;
                if (found != reference.end())
                {
                    bool const same = found->second.token == token;
                    RC_ASSERT(status == (same ? admission::claim_status::same_token
                                              : admission::claim_status::taken));
                    if (same)
                    {
                        found->second.horizon = std::max(found->second.horizon, horizon);
                    }
                }
                else if (deadline <= now)
                {
                    RC_ASSERT(status == admission::claim_status::refused);
                }
                else if (status == admission::claim_status::is_new)
                {
                    reference[id] = {token, horizon};
                }
                else
                {
                    // A record may occupy its slot for up to a second beyond its horizon.
                    RC_ASSERT(status == admission::claim_status::refused);
                    RC_ASSERT(table.records.size() == table.max_claims);
                }
                RC_ASSERT(table.records.size() <= table.max_claims);
            }
        });
}
