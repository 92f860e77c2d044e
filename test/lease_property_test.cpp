#include "lease.hpp"
#include "property.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using base::duration;
using base::result_code;

namespace
{

// Real time of the simulation, which no process can read.
using real_time = base::wall_time;

constexpr std::size_t candidate_count = 3;
constexpr duration run_length = 200s;
constexpr duration lease_length = 10s;
constexpr duration max_order_duration = 5s;

enum class fault
{
    pause,          // the process is suspended and handles its events afterwards
    outage,         // the store rejects the process's calls
    disconnected,   // calls don't reach the store
    lost_responses, // calls take effect, but the responses are lost
    slow_calls,     // calls take effect late, possibly after their deadline
    slow_responses, // responses take up to the deadlines of the calls
    step_down,      // the process releases the lease
    store_clock,    // the store's clock jumps forward; only in runs that allow it
};

struct disturbance
{
    int kind = 0;
    std::size_t process = 0;
    int at_ms = 0;
    int length_ms = 0;
};

struct plan
{
    std::vector<disturbance> disturbances;
    /// Rate of each process's clock, in parts per million of the rate of the store's clock.
    std::vector<int> clock_ppm;
    std::uint32_t delay_seed = 0;
};

std::ostream& operator<<(std::ostream& out, plan const& p)
{
    out << "delay_seed " << p.delay_seed;
    for (auto const ppm : p.clock_ppm)
    {
        out << " ppm " << ppm;
    }
    for (auto const& d : p.disturbances)
    {
        out << " {kind " << d.kind << " process " << d.process << " at_ms " << d.at_ms
            << " length_ms " << d.length_ms << '}';
    }
    return out;
}

rc::Gen<plan> plans()
{
    auto const generated = rc::gen::build<disturbance>(
        rc::gen::set(&disturbance::kind, rc::gen::inRange(0, 8)),
        rc::gen::set(&disturbance::process, rc::gen::inRange<std::size_t>(0, candidate_count)),
        rc::gen::set(&disturbance::at_ms, rc::gen::inRange(0, 180000)),
        rc::gen::set(&disturbance::length_ms, rc::gen::inRange(0, 25000)));
    return rc::gen::build<plan>(
        rc::gen::set(&plan::disturbances, rc::gen::container<std::vector<disturbance>>(generated)),
        rc::gen::set(&plan::clock_ppm, rc::gen::container<std::vector<int>>(
                                           candidate_count, rc::gen::inRange(950000, 1050001))),
        rc::gen::set(&plan::delay_seed, rc::gen::arbitrary<std::uint32_t>()));
}

struct outcome
{
    bool two_leaders = false;
    bool overlapping_orders = false;
    std::uint64_t terms = 0;
    int orders = 0;
};

struct process
{
    std::shared_ptr<lease::leadership> leader = std::make_shared<lease::leadership>();
    provider::store store;
    std::map<fault, real_time> until;
    int clock_ppm = 1000000;
};

/// Simulates the processes, their network and the store on a virtual clock.
struct simulation
{
    plan const& given;
    /// Computes the local deadline from the arrival of the response, which is wrong.
    bool naive = false;
    bool store_clock_jumps = false;

    simulation(plan const& plan, bool is_naive, bool jumps)
        : given(plan), naive(is_naive), store_clock_jumps(jumps)
    {
    }

    real_time now{};
    std::multimap<real_time, std::function<void()>> events;
    std::mt19937 random{given.delay_seed};
    std::vector<process> processes{candidate_count};
    duration store_ahead{};
    std::string holder;
    std::uint64_t fencing = 0;
    real_time expires_at{};
    std::size_t last_sender = 0;
    real_time last_order_end{};
    outcome result;

    duration random_delay(duration max_delay)
    {
        return duration(std::uniform_int_distribution<std::int64_t>(0, max_delay.count())(random));
    }
    bool is_affected(std::size_t p, fault kind) const
    {
        auto const found = processes.at(p).until.find(kind);
        return found != processes.at(p).until.end() && now < found->second;
    }
    void schedule(duration delay, std::function<void()> call)
    {
        events.emplace(now + delay, std::move(call));
    }
    /// Runs a call in a process, or defers it to the end of the pause.
    void in_process(std::size_t p, std::function<void()> const& call)
    {
        if (is_affected(p, fault::pause))
        {
            events.emplace(processes.at(p).until.at(fault::pause),
                           [this, p, call] { in_process(p, call); });
            return;
        }
        call();
    }
    base::mono_time local_now(std::size_t p) const
    {
        auto const ppm = processes.at(p).clock_ppm;
        // The offset reveals any mixing of the clocks of two processes.
        return base::mono_time(duration(base::micros(now) / 1000 * ppm / 1000) +
                               1000s * static_cast<int>(p + 1));
    }
    real_time store_now()
    {
        // The store's clock may be up to 100 ms ahead, as the drift margin allows.
        return now + store_ahead + random_delay(99ms);
    }

    /// Sends a call. `effect` runs in the store, and its result is passed to `done` at most once.
    template <class T>
    void call(std::size_t p, base::mono_time deadline, result_code lost,
              std::function<base::result<T>()> effect, provider::done<T> done)
    {
        auto const open = std::make_shared<bool>(true);
        auto const respond = [this, p, open, done](base::result<T> const& response)
        {
            in_process(p,
                       [this, p, open, done, response]
                       {
                           if (std::exchange(*open, false))
                           {
                               done(response);
                               apply_naive_deadline(p, response.has_value());
                           }
                       });
        };
        auto const left = (deadline - local_now(p)) * 1000 / (processes.at(p).clock_ppm / 1000);
        schedule(left, [respond, lost] { respond(base::fail(lost, "deadline")); });
        if (is_affected(p, fault::outage))
        {
            schedule(random_delay(50ms),
                     [respond] { respond(base::fail(result_code::store_unavailable, "outage")); });
        }
        else if (!is_affected(p, fault::disconnected))
        {
            bool const has_response = !is_affected(p, fault::lost_responses);
            auto const back = random_delay(is_affected(p, fault::slow_responses) ? 2400ms : 20ms);
            schedule(random_delay(is_affected(p, fault::slow_calls) ? 6000ms : 20ms),
                     [this, effect, respond, has_response, back]
                     {
                         auto const response = effect();
                         if (has_response)
                         {
                             schedule(back, [respond, response] { respond(response); });
                         }
                     });
        }
    }
    /// Sets the deadline of a naive holder, counted from the arrival of the response.
    void apply_naive_deadline(std::size_t p, bool success)
    {
        auto& leader = *processes.at(p).leader;
        if (naive && success && leader.fencing != 0)
        {
            leader.deadline = local_now(p) + lease_length;
        }
    }

    bool is_held()
    {
        return !holder.empty() && store_now() < expires_at;
    }
    void make_store(std::size_t p)
    {
        auto& store = processes.at(p).store;
        store.acquire_lease = [this, p](auto const&, std::string const& id, duration length,
                                        base::mono_time deadline, auto done)
        {
            auto const effect = [this, id, length]() -> base::result<std::uint64_t>
            {
                if (is_held() && holder != id)
                {
                    return base::fail(result_code::compare_failed, "held");
                }
                holder = id;
                expires_at = now + store_ahead + length;
                return ++fencing;
            };
            call<std::uint64_t>(p, deadline, result_code::store_outcome_unknown, effect, done);
        };
        store.renew_lease = [this, p](auto const&, std::string const& id, std::uint64_t number,
                                      duration length, base::mono_time deadline, auto done)
        {
            auto const effect = [this, id, number, length]() -> base::result<void>
            {
                if (!is_held() || holder != id || fencing != number)
                {
                    return base::fail(result_code::lease_lost, "lost");
                }
                expires_at = now + store_ahead + length;
                return {};
            };
            call<void>(p, deadline, result_code::store_outcome_unknown, effect, done);
        };
        store.release_lease = [this, p](auto const&, std::string const& id, std::uint64_t number,
                                        base::mono_time deadline, auto done)
        {
            auto const effect = [this, id, number]() -> base::result<void>
            {
                holder = holder == id && fencing == number ? "" : holder;
                return {};
            };
            call<void>(p, deadline, result_code::store_outcome_unknown, effect, done);
        };
        store.read_lease = [this, p](auto const&, base::mono_time deadline, auto done)
        {
            auto const effect = [this]() -> base::result<provider::lease_state>
            {
                return provider::lease_state{is_held() ? holder : "", fencing};
            };
            call<provider::lease_state>(p, deadline, result_code::store_unavailable, effect, done);
        };
    }

    void tick(std::size_t p)
    {
        in_process(p,
                   [this, p]
                   {
                       auto& self = processes.at(p);
                       self.leader->wanted = !is_affected(p, fault::step_down);
                       if (lease::may_send_orders(*self.leader, local_now(p)))
                       {
                           send_order(p);
                       }
                       lease::advance(self.leader, self.store, [this, p] { return local_now(p); });
                       schedule(100ms, [this, p] { tick(p); });
                   });
    }
    /// Sends an order that takes the maximum order duration.
    void send_order(std::size_t p)
    {
        if (now < last_order_end && last_sender != p)
        {
            result.overlapping_orders = true;
        }
        last_sender = p;
        last_order_end = std::max(last_order_end, now + max_order_duration);
        ++result.orders;
    }
    void check()
    {
        std::size_t leaders = 0;
        for (std::size_t p = 0; p < candidate_count; ++p)
        {
            leaders += lease::may_act(*processes.at(p).leader, local_now(p)) ? 1 : 0;
        }
        result.two_leaders = result.two_leaders || leaders > 1;
    }
    void disturb(disturbance const& d)
    {
        auto const kind = static_cast<fault>(d.kind);
        if (kind == fault::store_clock)
        {
            store_ahead +=
                store_clock_jumps ? duration(std::chrono::milliseconds(d.length_ms)) : duration(0);
            return;
        }
        auto& until = processes.at(d.process).until[kind];
        until = std::max(until, now + std::chrono::milliseconds(d.length_ms));
    }

    outcome run()
    {
        for (std::size_t p = 0; p < candidate_count; ++p)
        {
            processes.at(p).clock_ppm = given.clock_ppm.at(p);
            processes.at(p).leader->options = {"leader", std::to_string(p), lease_length,
                                               max_order_duration};
            make_store(p);
            schedule(random_delay(100ms), [this, p] { tick(p); });
        }
        for (auto const& d : given.disturbances)
        {
            schedule(std::chrono::milliseconds(d.at_ms), [this, d] { disturb(d); });
        }
        while (now < real_time(run_length))
        {
            // may_act can only turn false between events, so a check after each event suffices.
            auto const next = events.extract(events.begin());
            now = std::max(now, next.key());
            next.mapped()();
            check();
        }
        result.terms = fencing;
        return result;
    }
};

outcome run(plan const& given, bool naive, bool store_clock_jumps)
{
    return simulation(given, naive, store_clock_jumps).run();
}

} // namespace

SCENARIO("leader election on a virtual clock")
{
    GIVEN("no faults and clocks that differ by the margin")
    {
        plan const calm{{}, {950000, 1000000, 1050000}, 1};
        auto const result = run(calm, false, false);
        THEN("there is one leader for the whole run, and it sends orders")
        {
            CHECK(result.terms == 1);
            CHECK(result.orders > 1500);
        }
    }
    GIVEN("a leader that is paused for longer than its lease")
    {
        std::vector<disturbance> pauses;
        for (std::size_t p = 0; p < candidate_count; ++p)
        {
            // One of them is the leader, and the others take over one after the other.
            pauses.push_back({0, p, 20000 + 40000 * static_cast<int>(p), 25000});
        }
        plan const paused{pauses, {1000000, 1000000, 1000000}, 1};
        THEN("another process takes over")
        {
            auto const result = run(paused, false, false);
            CHECK(result.terms > 1);
            CHECK_FALSE(result.two_leaders);
        }
    }
}

// Guards against a violation of invariant 7: orders from two processes that both act as the leader.
SCENARIO("leader election under random faults")
{
    test::check_property("there are never two leaders, whatever the faults",
                         []
                         {
                             auto const given = *plans();
                             auto const result = run(given, false, false);
                             RC_ASSERT(!result.two_leaders);
                             RC_ASSERT(!result.overlapping_orders);
                         });
    test::check_property("orders don't overlap even if the store's clock jumps",
                         []
                         {
                             auto const given = *plans();
                             RC_ASSERT(!run(given, false, true).overlapping_orders);
                         });
}

// Shows that the properties above detect a holder that counts its lease from the response.
SCENARIO("a naive holder violates the properties in the same runs")
{
    int two_leaders = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed)
    {
        auto const given = plans()(rc::Random(seed), 100).value();
        two_leaders += run(given, true, false).two_leaders ? 1 : 0;
    }
    CHECK(two_leaders > 0);
    MESSAGE("two leaders in " << two_leaders << " of 200 naive runs");
}
