#include "at_ms.hpp"
#include "fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;
using namespace std::chrono_literals;

namespace
{

// Lookups are due after this time; reward calls must be answered before the route's time-out.
constexpr base::duration lookup_target = 150ms;
constexpr base::duration reward_timeout = 2s;

fleet::waiting_request make_caller(std::uint64_t number, std::string team, base::mono_time now,
                                   base::mono_time dispatch_deadline)
{
    fleet::waiting_request request;
    request.number = number;
    request.team = std::move(team);
    request.entered_at = now;
    request.dispatch_deadline = dispatch_deadline;
    return request;
}

fleet::waiting_request make_reward(std::uint64_t number, base::mono_time now)
{
    auto request = make_caller(number, "trainers", now, now + reward_timeout);
    request.is_reward = true;
    return request;
}

/// What became of a request.
struct record
{
    fleet::waiting_request request;
    base::duration waited = base::duration::max();
    base::duration answered_after = base::duration::max();
    bool refused_early = false;
    bool expired = false;
};

/// One gateway and the upstreams of a service, in steps of one millisecond.
struct simulation
{
    struct upstream
    {
        base::duration service_time = 40ms;
        std::uint32_t running = 0;
    };
    std::uint32_t slots_each = 6;
    std::vector<upstream> upstreams{4};
    base::mono_time now = at_ms(0);
    fleet::service_queue queue;
    fleet::reward_share rewards;
    std::map<std::uint64_t, record> records;
    std::multimap<base::mono_time, std::pair<std::size_t, std::uint64_t>> ends;

    [[nodiscard]] fleet::service_load load() const
    {
        fleet::service_load load;
        load.opens_at = ends.size() < slots_each * upstreams.size() ? now : load.opens_at;
        load.slots = slots_each * static_cast<std::uint32_t>(upstreams.size());
        load.running = static_cast<std::uint32_t>(ends.size());
        return load;
    }
};

void add_lookup(simulation& sim, std::string team)
{
    auto const number = sim.records.size() + 1;
    auto const deadline =
        fleet::caller_dispatch_deadline(sim.queue, sim.load(), sim.now + lookup_target, sim.now);
    sim.records[number].request = make_caller(number, std::move(team), sim.now, deadline);
    sim.rewards.caller_seen_at = sim.now;
    fleet::enter(sim.queue, sim.records[number].request);
}

void add_reward(simulation& sim)
{
    auto const number = sim.records.size() + 1;
    sim.records[number].request = make_reward(number, sim.now);
    fleet::enter(sim.queue, sim.records[number].request);
}

void end_due(simulation& sim)
{
    while (!sim.ends.empty() && sim.ends.begin()->first <= sim.now)
    {
        auto const [index, number] = sim.ends.begin()->second;
        sim.ends.erase(sim.ends.begin());
        --sim.upstreams[index].running;
        auto& ended = sim.records[number];
        ended.answered_after = sim.now - ended.request.entered_at;
        fleet::note_slot_freed(sim.queue, ended.answered_after - ended.waited, sim.now);
        if (ended.request.is_reward)
        {
            --sim.rewards.running;
            fleet::note_reward_answered(sim.rewards, ended.answered_after - ended.waited,
                                        sim.load().slots, sim.now);
        }
    }
}

void dispatch(simulation& sim)
{
    for (auto const number : fleet::dispatch_order(sim.queue, sim.now))
    {
        auto& next = sim.records[number];
        auto const least =
            std::min_element(sim.upstreams.begin(), sim.upstreams.end(),
                             [](auto const& a, auto const& b) { return a.running < b.running; });
        bool const is_held = next.request.is_reward &&
                             !fleet::may_send_reward(sim.rewards, sim.load().slots, sim.now);
        if (least->running >= sim.slots_each || is_held)
        {
            continue;
        }
        ++least->running;
        sim.rewards.running += next.request.is_reward ? 1 : 0;
        next.waited = sim.now - next.request.entered_at;
        sim.ends.emplace(
            sim.now + least->service_time,
            std::pair(static_cast<std::size_t>(least - sim.upstreams.begin()), number));
        fleet::note_dispatched(sim.queue, number);
    }
}

template <class Arrive>
void run_for(simulation& sim, base::duration length, Arrive const& arrive)
{
    for (auto const end = sim.now + length; sim.now < end; sim.now += 1ms)
    {
        end_due(sim);
        arrive((sim.now - at_ms(0)) / 1ms);
        dispatch(sim);
        for (auto const number : fleet::expire(sim.queue, sim.now))
        {
            sim.records[number].expired = true;
        }
        for (auto const& refusal : fleet::refuse_unreachable(sim.queue, sim.load(), sim.now))
        {
            CHECK(refusal.retry_at > sim.now);
            sim.records[refusal.number].refused_early = true;
        }
    }
}

template <class Condition>
std::size_t count(simulation const& sim, Condition const& condition)
{
    return static_cast<std::size_t>(std::count_if(sim.records.begin(), sim.records.end(),
                                                  [&](auto const& entry)
                                                  { return condition(entry.second); }));
}

bool is_late(record const& one)
{
    return one.answered_after > (one.request.is_reward ? reward_timeout : lookup_target);
}

} // namespace

SCENARIO("a burst of 144 reward calls arrives beside lookups")
{
    simulation sim;
    run_for(sim, 5s,
            [&](std::int64_t ms)
            {
                for (int i = 0; ms == 1000 && i < 144; ++i)
                {
                    add_reward(sim);
                }
                if (ms % 20 == 0 && ms < 2500)
                {
                    add_lookup(sim, "person");
                }
            });
    // Guards against a burst that takes all slots, and against reward calls that never end.
    CHECK(sim.records.size() == 144 + 125);
    CHECK(count(sim, is_late) == 0);
}

SCENARIO("half of the upstreams become six times slower under reward calls and lookups")
{
    simulation sim;
    auto const arrive = [&](std::int64_t ms)
    {
        if (ms % 8 == 0)
        {
            add_reward(sim);
        }
        if (ms % 80 == 0)
        {
            add_lookup(sim, "person");
        }
    };
    run_for(sim, 2s, arrive);
    CHECK(sim.rewards.share == doctest::Approx(fleet::max_reward_share));
    auto const set_times = [&](std::size_t slow)
    {
        for (std::size_t i = 0; i < sim.upstreams.size(); ++i)
        {
            sim.upstreams[i].service_time = i < slow ? 240ms : 40ms;
        }
    };
    auto const is_unserved_lookup = [](record const& one)
    {
        return !one.request.is_reward && (one.expired || one.refused_early);
    };
    set_times(2);
    run_for(sim, 4s, arrive);
    // The fast half has room for all, so no request waits long.
    CHECK(count(sim, is_unserved_lookup) == 0);
    CHECK(count(sim, [](record const& one) { return one.expired; }) == 0);
    AND_WHEN("all of them become as slow and reward calls alone exceed the slots")
    {
        set_times(4);
        run_for(sim, 3s, arrive);
        // Guards against reward calls that keep their share of a service that has become slow.
        CHECK(sim.rewards.share < fleet::max_reward_share);
        CHECK(count(sim, is_unserved_lookup) == 0);
        set_times(0);
        run_for(sim, 4s, arrive);
        THEN("the share is restored once they are fast again")
        {
            CHECK(sim.rewards.share == doctest::Approx(fleet::max_reward_share));
        }
    }
}

SCENARIO("one team floods a service")
{
    simulation sim;
    sim.upstreams.resize(1);
    run_for(sim, 3s,
            [&](std::int64_t ms)
            {
                // 400 a second with 150 a second of capacity, beside 20 a second.
                for (int i = 0; i < (ms % 5 == 0 ? 2 : 0); ++i)
                {
                    add_lookup(sim, "flood");
                }
                if (ms % 50 == 0 && ms < 2800)
                {
                    add_lookup(sim, "other");
                }
            });
    auto const is_other = [](record const& one)
    {
        return one.request.team == "other";
    };
    CHECK(count(sim, is_other) == 56);
    CHECK(count(sim, [&](record const& one) { return is_other(one) && is_late(one); }) == 0);
    CHECK(count(sim, [](record const& one) { return one.refused_early; }) > 0);
    // Guards against a refusal of a request that was sent.
    CHECK(count(sim, [](record const& one)
                { return one.refused_early && one.waited != base::duration::max(); }) == 0);
    // Capacity for 440 requests of this time must not be left idle by refusals.
    CHECK(count(sim, [](record const& one)
                { return one.answered_after != base::duration::max(); }) > 400);
}

SCENARIO("reward calls don't starve behind a steady excess of callers' requests")
{
    simulation sim;
    sim.upstreams.resize(1);
    std::uint64_t last = 0;
    run_for(sim, 5s,
            [&](std::int64_t ms)
            {
                if (ms == 500)
                {
                    add_reward(sim);
                    last = sim.records.size();
                }
                if (ms % 3 == 0)
                {
                    add_lookup(sim, "flood");
                }
            });
    // It gets the next turn once it counts like a caller's request, at the latest when a slot
    // frees.
    CHECK(sim.records[last].waited >= fleet::reward_promotion_wait);
    CHECK(sim.records[last].waited < fleet::reward_promotion_wait + 2 * 40ms);
}

SCENARIO("waiting requests are dispatched by class, priority, turn and deadline")
{
    fleet::service_queue queue;
    auto const now = at_ms(0);
    fleet::enter(queue, make_reward(1, now));
    fleet::enter(queue, make_caller(2, "a", now, at_ms(30)));
    fleet::enter(queue, make_caller(3, "a", now, at_ms(20)));
    fleet::enter(queue, make_caller(4, "b", now, at_ms(90)));
    auto urgent = make_caller(5, "a", now, at_ms(99));
    auto deferred = make_caller(6, "c", now, at_ms(10));
    deferred.is_deferred = true;
    fleet::enter(queue, deferred);
    for (auto& [number, request] : queue.waiting)
    {
        request.priority = 1;
    }
    fleet::enter(queue, urgent);
    CHECK(fleet::dispatch_order(queue, now) == std::vector<std::uint64_t>{5, 3, 4, 2, 1, 6});
    WHEN("a team was served last")
    {
        fleet::note_dispatched(queue, 3);
        CHECK(fleet::dispatch_order(queue, now) == std::vector<std::uint64_t>{5, 4, 2, 1, 6});
    }
    WHEN("a reward call has waited long")
    {
        auto const later = now + fleet::reward_promotion_wait;
        auto const order = fleet::dispatch_order(queue, later);
        CHECK(std::find(order.begin(), order.begin() + 2, 1U) != order.begin() + 2);
    }
}

SCENARIO("a request is refused early only when it can't be dispatched in time")
{
    fleet::service_queue queue;
    auto const now = at_ms(100);
    for (std::uint64_t number = 1; number <= 6; ++number)
    {
        fleet::enter(queue, make_caller(number, "a", now, now + 30ms));
    }
    fleet::service_load full;
    full.slots = full.running = 6;
    WHEN("nothing was measured")
    {
        CHECK(fleet::refuse_unreachable(queue, full, now).empty());
    }
    WHEN("six requests of 48 ms run, so that a slot becomes free every 8 ms")
    {
        fleet::note_slot_freed(queue, 48ms, at_ms(50));
        THEN("those that need a fourth slot or a later one within 30 ms are refused")
        {
            auto const refused = fleet::refuse_unreachable(queue, full, now);
            REQUIRE(refused.size() == 3);
            CHECK(refused.front().number == 4);
            CHECK(refused.front().retry_at == now + 32ms);
            CHECK(queue.waiting.size() == 3);
        }
        THEN("none is refused that may have run, or while an upstream opens in time")
        {
            queue.waiting.at(6).may_be_refused = false;
            full.opens_at = now + 10ms;
            CHECK(fleet::refuse_unreachable(queue, full, now).empty());
            full.opens_at = base::mono_time::max();
            for (auto const& refusal : fleet::refuse_unreachable(queue, full, now))
            {
                CHECK(refusal.number != 6);
            }
        }
    }
}

SCENARIO("the dispatch deadline of a caller follows the service time")
{
    fleet::service_queue queue;
    fleet::service_load busy;
    busy.slots = busy.running = 6;
    auto const deadline = [&](fleet::service_load const& load)
    {
        return fleet::caller_dispatch_deadline(queue, load, at_ms(150), at_ms(0));
    };
    CHECK(deadline(busy) == at_ms(30));
    fleet::note_slot_freed(queue, 10ms, at_ms(0));
    CHECK(deadline(busy) == at_ms(110));
    // Guards against callers that wait long at a service that no upstream serves any more.
    CHECK(deadline({}) == at_ms(30));
}

SCENARIO("the share of reward calls follows refusals and ends without callers")
{
    fleet::reward_share rewards;
    CHECK(fleet::may_send_reward(rewards, 0, at_ms(0)));
    rewards.caller_seen_at = at_ms(0);
    CHECK(fleet::reward_limit(rewards, 24, at_ms(0)) == 16);
    CHECK(fleet::note_plain_refused(rewards, at_ms(5), 24, at_ms(10)));
    CHECK(fleet::reward_limit(rewards, 24, at_ms(10)) == 11);
    // Requests that were sent together are refused together and count once.
    CHECK_FALSE(fleet::note_plain_refused(rewards, at_ms(5), 24, at_ms(11)));
    for (int i = 20; i < 60; ++i)
    {
        (void)fleet::note_plain_refused(rewards, at_ms(i), 24, at_ms(i));
    }
    CHECK(fleet::reward_limit(rewards, 24, at_ms(60)) == 1);
    (void)fleet::note_reward_answered(rewards, 40ms, 24, at_ms(100));
    CHECK(fleet::reward_limit(rewards, 24, at_ms(100)) == 2);
    auto const end = fleet::unlimited_at(rewards, at_ms(100));
    REQUIRE(end.has_value());
    CHECK(fleet::reward_limit(rewards, 24, *end) > 1000);
}

SCENARIO("further tries are a tenth of the requests and a burst")
{
    fleet::try_budget budget;
    int sent = 0;
    for (int i = 0; i < 1000; ++i)
    {
        fleet::note_request(budget, at_ms(i));
        if (fleet::may_try_again(budget, false))
        {
            fleet::use_try(budget);
            ++sent;
        }
    }
    CHECK(sent >= 100);
    CHECK(sent <= 100 + static_cast<int>(fleet::try_burst));
}

SCENARIO("the load of a service tells when an upstream may take a request again")
{
    fleet::pool pool;
    fleet::upstream_record record;
    record.id = "a";
    record.service = "desk";
    record.slots = 1;
    (void)fleet::apply_list(pool, {&record, 1}, at_ms(0));
    fleet::note_full(pool, "a", at_ms(0));
    auto const suspended = fleet::load_of(pool, nullptr, "desk", at_ms(0));
    CHECK(suspended.slots == 1);
    CHECK(suspended.wake_at == pool.upstreams.at("a").suspended_until);
    for (std::uint32_t i = 0; i < fleet::max_requests_per_slot; ++i)
    {
        fleet::note_request_sent(pool, "a", at_ms(0));
    }
    // A full upstream opens only when a request ends.
    CHECK(fleet::load_of(pool, nullptr, "desk", at_ms(0)).opens_at == base::mono_time::max());
}
