// Compares rules for the choice of an upstream on a virtual clock and one recorded mix, which a
// generator with a fixed seed makes: every 4 s each of four trainers submits a step of groups, and
// the step's owner alternates between two processes that don't know of each other's requests.
//
// "Late" is the share of groups that are complete later than 7.5 s after their submission, or of
// plain requests that take longer than 150 ms. All rules see the same requests, the same slow
// phases and, for samples, the same order of dispatch.

#include "fleet.hpp"
#include "rollout.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the requests, the slow phases and random choices");
DEFINE_uint64(seconds, 240, "simulated time in which requests arrive");

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t slots = 6;
constexpr base::mono_time begin{1h};

enum class policy
{
    least_requests,
    two_choices,
    /// Time per event and load, with moves off upstreams that are 1.6 times slower than the median.
    previous,
    expected_work_without_moves,
    expected_work,
};

struct slow_phase
{
    base::mono_time from{};
    base::mono_time to{};
    double factor = 1;
};

double factor_at(std::vector<slow_phase> const& phases, base::mono_time now)
{
    for (auto const& phase : phases)
    {
        if (phase.from <= now && now < phase.to)
        {
            return phase.factor;
        }
    }
    return 1;
}

base::duration seconds(double count)
{
    return base::duration(static_cast<std::int64_t>(count * 1e6));
}

/// Slow phases at random times, in the mean one in `interval_s`.
void add_phases(std::vector<slow_phase>& phases, std::mt19937_64& source, double interval_s,
                base::duration length, double factor)
{
    std::exponential_distribution<double> gap(1 / interval_s);
    auto const end = begin + std::chrono::seconds(FLAGS_seconds + 30);
    for (auto time = begin + seconds(gap(source)); time < end;
         time += length + seconds(gap(source)))
    {
        phases.push_back({time, time + length, factor});
    }
}

/// Calls functions in the order of their times.
class virtual_clock
{
public:
    base::mono_time now = begin;

    void at(base::mono_time time, std::function<void()> call)
    {
        calls.emplace(time, std::move(call));
    }

    void run()
    {
        while (!calls.empty())
        {
            auto call = calls.extract(calls.begin());
            now = call.key();
            call.mapped()();
        }
    }

private:
    std::multimap<base::mono_time, std::function<void()>> calls;
};

fleet::upstream_record make_record(std::string id, std::string service)
{
    fleet::upstream_record record;
    record.id = std::move(id);
    record.service = std::move(service);
    record.address = "127.0.0.1:1";
    record.slots = slots;
    return record;
}

/// The candidate with the fewest requests from this process, of all or of two random ones.
fleet::upstream* choose_by_count(std::vector<fleet::upstream*> const& candidates, policy used,
                                 std::mt19937_64& random)
{
    if (candidates.empty())
    {
        return nullptr;
    }
    auto const pick = [&]
    {
        return candidates[random() % candidates.size()];
    };
    if (used == policy::two_choices)
    {
        auto* const first = pick();
        auto* const second = pick();
        return first->running <= second->running ? first : second;
    }
    // Starts at a random one, so that equal ones share the requests.
    auto* best = pick();
    for (auto* const candidate : candidates)
    {
        best = candidate->running < best->running ? candidate : best;
    }
    return best;
}

struct figures
{
    std::uint64_t total = 0;
    std::uint64_t late = 0;
    double sum_s = 0;
    std::uint64_t refused = 0;
    std::uint64_t moves = 0;
};

void add_completion(figures& all, base::duration took, base::duration due)
{
    ++all.total;
    all.late += took > due ? 1 : 0;
    all.sum_s += std::chrono::duration<double>(took).count();
}

// Samples.

constexpr std::size_t engine_count = 43;
constexpr std::uint32_t tokens_per_event = 79;
constexpr base::duration run_target = 7500ms;
// Connection and place in the queue.
constexpr base::duration start_delay = 75ms;

struct step_shape
{
    std::size_t groups;
    std::size_t size;
    std::size_t engines;
};
constexpr std::array<step_shape, 4> trainers = {{{13, 8, 9}, {20, 8, 14}, {5, 16, 7}, {9, 16, 13}}};

struct group
{
    base::mono_time submitted{};
    std::size_t open = 0;
    std::string holder;
};

struct sample
{
    std::string id;
    std::size_t group = 0;
    std::size_t process = 0;
    std::size_t events = 0;
    std::uint32_t hint_tokens = 0;
    std::size_t produced = 0;
    bool running = false;
    base::mono_time not_before{};
    /// Run, if it runs.
    std::uint64_t run = 0;
    std::string engine;
    fleet::request_work work;
    base::mono_time last_event_at{};
    base::mono_time stays_until{};
};

struct engine
{
    base::duration event_time{};
    std::vector<slow_phase> phases;
    std::uint32_t running = 0;
};

struct process
{
    fleet::pool pool;
    std::string model;
    std::vector<std::size_t> open;
    base::mono_time next_move_check{};
};

class sample_simulation
{
public:
    sample_simulation(policy used, double hint_error) : used(used), random(FLAGS_seed)
    {
        std::mt19937_64 source(FLAGS_seed + 1);
        configuration.services = {{"engines", 0, {}, tokens_per_event}};
        make_engines(source);
        make_steps(source, hint_error);
    }

    figures run()
    {
        clock.run();
        return result;
    }

private:
    policy used;
    std::mt19937_64 random;
    virtual_clock clock;
    fleet::configuration configuration;
    std::map<std::string, engine, std::less<>> engines;
    std::vector<process> processes;
    std::vector<group> groups;
    std::vector<sample> samples;
    std::uint64_t last_run = 0;
    figures result;

    void make_engines(std::mt19937_64& source)
    {
        std::vector<fleet::upstream_record> listed;
        fleet::model_shares shares;
        std::size_t number = 0;
        for (std::size_t trainer = 0; trainer < trainers.size(); ++trainer)
        {
            for (std::size_t i = 0; i < trainers.at(trainer).engines; ++i, ++number)
            {
                auto const id = fmt::format("e{}", number);
                auto record = make_record(id, "engines");
                for (std::size_t model = 0; model < trainers.size(); ++model)
                {
                    record.weights[fmt::format("m{}", model)] = 1;
                }
                listed.push_back(record);
                shares[id] = fmt::format("m{}", trainer);
                auto& own = engines[id];
                own.event_time = number % 3 == 0 ? 56ms : 43ms;
                add_phases(own.phases, source, 60, 4s, 3.5);
                add_phases(own.phases, source, 10, 600ms, 2.5);
            }
        }
        for (std::size_t i = 0; i < 2 * trainers.size(); ++i)
        {
            auto& own = processes.emplace_back();
            own.model = fmt::format("m{}", i / 2);
            own.pool.shares = shares;
            (void)fleet::apply_list(own.pool, listed, begin);
        }
    }

    void make_steps(std::mt19937_64& source, double hint_error)
    {
        std::exponential_distribution<double> length(1.0 / 8);
        std::normal_distribution<double> error(0, hint_error);
        for (std::size_t trainer = 0; trainer < trainers.size(); ++trainer)
        {
            std::size_t step = 0;
            for (auto time = begin + trainer * 1s;
                 time < begin + std::chrono::seconds(FLAGS_seconds); time += 4s, ++step)
            {
                std::vector<std::size_t> submitted;
                auto const owner = 2 * trainer + step % 2;
                for (std::size_t i = 0; i < trainers.at(trainer).groups * trainers.at(trainer).size;
                     ++i)
                {
                    if (i % trainers.at(trainer).size == 0)
                    {
                        groups.push_back({time, trainers.at(trainer).size, {}});
                    }
                    auto events = 4 + static_cast<std::size_t>(length(source));
                    events = std::min<std::size_t>(146, source() % 12 == 0 ? 5 * events : events);
                    auto const hint =
                        static_cast<double>(events * tokens_per_event) * std::exp(error(source));
                    sample added;
                    added.id = fmt::format("s{}", samples.size());
                    added.group = groups.size() - 1;
                    added.process = owner;
                    added.events = events;
                    added.hint_tokens = static_cast<std::uint32_t>(hint);
                    submitted.push_back(samples.size());
                    samples.push_back(std::move(added));
                }
                clock.at(time,
                         [this, owner, submitted]
                         {
                             auto& open = processes[owner].open;
                             open.insert(open.end(), submitted.begin(), submitted.end());
                             dispatch(owner);
                         });
            }
        }
        // As the gateway's periodic check.
        for (std::size_t i = 0; i < processes.size(); ++i)
        {
            check(i);
        }
    }

    void check(std::size_t i)
    {
        dispatch(i);
        if (clock.now < begin + std::chrono::seconds(FLAGS_seconds) || !processes[i].open.empty())
        {
            clock.at(clock.now + 100ms, [this, i] { check(i); });
        }
    }

    double left(sample const& own) const
    {
        return fleet::expected_events_left(own.hint_tokens, tokens_per_event, own.produced);
    }

    fleet::sample_requirements requirements_of(sample const& own)
    {
        fleet::sample_requirements need;
        need.service = "engines";
        need.model = processes[own.process].model;
        need.preferred = groups[own.group].holder;
        need.events_left = left(own);
        need.due = groups[own.group].submitted + run_target;
        need.request_id = own.id;
        return need;
    }

    double event_us(fleet::upstream const& upstream, double median_us) const
    {
        return upstream.event_time.us > 0 ? upstream.event_time.us : median_us;
    }

    fleet::upstream* choose_previous(std::vector<fleet::upstream*> const& candidates,
                                     fleet::sample_requirements const& need, double median_us)
    {
        fleet::upstream* best = nullptr;
        auto const cost = [&](fleet::upstream const& upstream)
        {
            return event_us(upstream, median_us) * (1 + 0.5 * upstream.running / slots);
        };
        for (auto* const candidate : candidates)
        {
            if (candidate->record.id == need.preferred &&
                candidate->event_time.us <= 1.6 * median_us)
            {
                return candidate;
            }
            best = best == nullptr || cost(*candidate) < cost(*best) ? candidate : best;
        }
        return best;
    }

    std::string choose(process& own, fleet::sample_requirements const& need)
    {
        if (used == policy::expected_work || used == policy::expected_work_without_moves)
        {
            auto const chosen = fleet::choose_sample(own.pool, configuration, need, clock.now);
            return chosen ? chosen->id : std::string();
        }
        std::vector<fleet::upstream*> candidates;
        for (auto& [id, upstream] : own.pool.upstreams)
        {
            if (own.pool.shares.at(id) == own.model && upstream.running < slots &&
                clock.now >= upstream.loading_until && id != need.avoided &&
                (!upstream.on_probation || upstream.unanswered_samples == 0))
            {
                candidates.push_back(&upstream);
            }
        }
        auto const median_us =
            std::max(1.0, fleet::event_times(own.pool, "engines", clock.now).median_us);
        auto* const chosen = used == policy::previous ? choose_previous(candidates, need, median_us)
                                                      : choose_by_count(candidates, used, random);
        return chosen != nullptr ? chosen->record.id : std::string();
    }

    void release(sample& own)
    {
        fleet::note_request_ended(processes[own.process].pool, own.engine, own.work);
        --engines.at(own.engine).running;
        own.running = false;
        own.run = 0;
    }

    void start(std::size_t i, std::string const& id)
    {
        auto& own = samples[i];
        auto& pool = processes[own.process].pool;
        auto& target = engines.at(id);
        own.work = {left(own)};
        fleet::note_sample_sent(pool, id, clock.now, own.work);
        fleet::note_sample_answered(pool, id);
        if (target.running == slots)
        {
            // Another process has filled it.
            ++result.refused;
            fleet::note_request_ended(pool, id, own.work);
            fleet::note_sample_refused(pool, id, clock.now);
            own.not_before = clock.now + 20ms;
            return;
        }
        fleet::note_sample_started(pool, id);
        ++target.running;
        own.running = true;
        own.run = ++last_run;
        own.engine = id;
        own.last_event_at = {};
        groups[own.group].holder = id;
        schedule_event(i, start_delay);
    }

    void schedule_event(std::size_t i, base::duration delay)
    {
        auto const& own = samples[i];
        auto const& source = engines.at(own.engine);
        auto const took = seconds(std::chrono::duration<double>(source.event_time).count() *
                                  factor_at(source.phases, clock.now));
        clock.at(clock.now + delay + took,
                 [this, i, run = own.run]
                 {
                     if (samples[i].run == run)
                     {
                         on_event(i);
                     }
                 });
    }

    void on_event(std::size_t i)
    {
        auto& own = samples[i];
        auto& pool = processes[own.process].pool;
        ++own.produced;
        fleet::note_event(pool, own.engine, own.work);
        if (own.last_event_at != base::mono_time{})
        {
            fleet::note_event_interval(pool, own.engine, clock.now - own.last_event_at, clock.now);
        }
        own.last_event_at = clock.now;
        if (own.produced < own.events)
        {
            schedule_event(i, {});
            return;
        }
        release(own);
        std::erase(processes[own.process].open, i);
        auto& of = groups[own.group];
        if (--of.open == 0)
        {
            add_completion(result, clock.now - of.submitted, run_target);
        }
        dispatch(own.process);
    }

    std::string find_move(process& own, sample const& moving)
    {
        auto need = requirements_of(moving);
        need.preferred = {};
        need.avoided = moving.engine;
        if (used == policy::expected_work)
        {
            auto move = fleet::choose_move(own.pool, configuration, moving.engine, need, clock.now);
            return move ? move->target.id : std::string();
        }
        auto const median_us = fleet::event_times(own.pool, "engines", clock.now).median_us;
        auto const present_us = own.pool.upstreams.at(moving.engine).event_time.us;
        if (present_us < 1.6 * median_us || need.events_left < 3)
        {
            return {};
        }
        auto target = choose(own, need);
        return !target.empty() &&
                       present_us > 2 * event_us(own.pool.upstreams.at(target), median_us)
                   ? target
                   : std::string();
    }

    void move_samples(process& own)
    {
        auto const moves = used == policy::expected_work || used == policy::previous;
        if (!moves || clock.now < own.next_move_check)
        {
            return;
        }
        own.next_move_check = clock.now + (used == policy::previous ? 100ms : 50ms);
        std::vector<std::pair<double, std::size_t>> order;
        for (auto const i : own.open)
        {
            auto const& moving = samples[i];
            if (moving.running && moving.produced > 0 && clock.now >= moving.stays_until)
            {
                order.emplace_back(-fleet::max_saved_us(own.pool, moving.engine,
                                                        requirements_of(moving), clock.now),
                                   i);
            }
        }
        std::ranges::sort(order);
        int moved = 0;
        for (auto const& [saved, i] : order)
        {
            auto const target = moved < 2 ? find_move(own, samples[i]) : std::string();
            if (!target.empty())
            {
                release(samples[i]);
                start(i, target);
                samples[i].stays_until =
                    used == policy::previous ? clock.now : clock.now + fleet::min_stay_after_move;
                ++result.moves;
                ++moved;
            }
        }
    }

    void dispatch(std::size_t number)
    {
        auto& own = processes[number];
        fleet::discard_stale_means(own.pool, clock.now);
        move_samples(own);
        std::vector<rollout::waiting_sample> waiting;
        for (auto const i : own.open)
        {
            if (!samples[i].running && clock.now >= samples[i].not_before)
            {
                auto const tokens = left(samples[i]) * tokens_per_event;
                waiting.push_back({"", i, groups[samples[i].group].submitted + run_target,
                                   static_cast<std::uint32_t>(tokens), 0});
            }
        }
        rollout::sort_by_slack(waiting, clock.now, 600);
        for (std::size_t position = 0; position < waiting.size(); ++position)
        {
            auto need = requirements_of(samples[waiting[position].index]);
            need.longer_waiting = static_cast<std::uint32_t>(std::count_if(
                waiting.begin() + static_cast<std::ptrdiff_t>(position), waiting.end(),
                [&](rollout::waiting_sample const& other)
                { return left(samples[other.index]) >= 2 * need.events_left; }));
            auto const chosen = choose(own, need);
            if (chosen.empty())
            {
                return;
            }
            start(waiting[position].index, chosen);
        }
    }
};

// Plain requests.

constexpr base::duration lookup_target = 150ms;

struct plain_request
{
    base::mono_time arrived{};
    std::size_t process = 0;
    std::size_t body_bytes = 0;
    base::duration cost{};
    std::string id;
    double expected_work = 1;
    base::mono_time sent_at{};
};

struct desk
{
    std::vector<slow_phase> phases;
    std::deque<std::size_t> queue;
    std::uint32_t running = 0;
};

class plain_simulation
{
public:
    plain_simulation(policy used, bool with_costs)
        : used(used), with_costs(with_costs), random(FLAGS_seed)
    {
        std::mt19937_64 source(FLAGS_seed + 2);
        constexpr std::size_t desk_count = 4;
        constexpr std::size_t process_count = 4;
        configuration.services = {{"desk", 0, {}}};
        std::vector<fleet::upstream_record> listed;
        for (std::size_t i = 0; i < desk_count; ++i)
        {
            listed.push_back(make_record(fmt::format("d{}", i), "desk"));
            add_phases(desks[listed.back().id].phases, source, 25, 5s, 6);
        }
        pools.resize(process_count);
        costs.resize(process_count);
        for (auto& pool : pools)
        {
            (void)fleet::apply_list(pool, listed, begin);
        }
        make_requests(source, process_count);
    }

    figures run()
    {
        clock.run();
        return result;
    }

private:
    policy used;
    bool with_costs;
    std::mt19937_64 random;
    virtual_clock clock;
    fleet::configuration configuration;
    std::map<std::string, desk, std::less<>> desks;
    std::vector<fleet::pool> pools;
    std::vector<fleet::cost_estimates> costs;
    std::vector<plain_request> requests;
    figures result;

    void make_requests(std::mt19937_64& source, std::size_t process_count)
    {
        std::exponential_distribution<double> gap(250);
        auto const end = begin + std::chrono::seconds(FLAGS_seconds);
        for (auto time = begin; time < end; time += seconds(gap(source)))
        {
            // Small bodies take 20 to 30 ms, one in 50 of them 220 ms; large ones take 110 ms.
            bool const is_large = source() % 8 == 0;
            auto const small =
                source() % 50 == 0 ? 0.220 : 0.020 + 0.001 * static_cast<double>(source() % 11);
            auto const i = requests.size();
            requests.push_back({time,
                                source() % process_count,
                                is_large ? 300'000U : 300U,
                                seconds(is_large ? 0.110 : small),
                                fmt::format("r{}", i),
                                1,
                                {}});
            clock.at(time, [this, i] { place(i); });
        }
    }

    std::string choose(plain_request const& request)
    {
        auto& pool = pools[request.process];
        if (used == policy::expected_work)
        {
            fleet::plain_requirements const need{"desk", "",         {},
                                                 "",     request.id, request.expected_work};
            auto const chosen = fleet::choose_plain(pool, configuration, need, clock.now);
            return chosen ? chosen->id : std::string();
        }
        std::vector<fleet::upstream*> candidates;
        for (auto& [id, upstream] : pool.upstreams)
        {
            if (upstream.running < 2 * slots)
            {
                candidates.push_back(&upstream);
            }
        }
        if (used == policy::previous)
        {
            auto const median_us = fleet::answer_times(pool, "desk", clock.now).median_us;
            auto const cost = [&](fleet::upstream const* upstream)
            {
                auto const known = upstream->answer_time.us;
                return (known > 0 ? known : median_us) * (upstream->running + 1);
            };
            auto const best = std::ranges::min_element(candidates, {}, cost);
            return best != candidates.end() ? (*best)->record.id : std::string();
        }
        auto* const chosen = choose_by_count(candidates, used, random);
        return chosen != nullptr ? chosen->record.id : std::string();
    }

    void place(std::size_t i)
    {
        auto& request = requests[i];
        auto& pool = pools[request.process];
        fleet::discard_stale_means(pool, clock.now);
        request.expected_work = with_costs ? fleet::expected_work(costs[request.process], "desk",
                                                                  "", request.body_bytes)
                                           : 1;
        auto const chosen = choose(request);
        if (chosen.empty())
        {
            clock.at(clock.now + 10ms, [this, i] { place(i); });
            return;
        }
        fleet::note_request_sent(pool, chosen, clock.now, {request.expected_work});
        request.sent_at = clock.now;
        desks.at(chosen).queue.push_back(i);
        serve(chosen);
    }

    void serve(std::string const& id)
    {
        auto& own = desks.at(id);
        while (!own.queue.empty() && own.running < slots)
        {
            auto const i = own.queue.front();
            own.queue.pop_front();
            ++own.running;
            auto const took = seconds(std::chrono::duration<double>(requests[i].cost).count() *
                                      factor_at(own.phases, clock.now));
            clock.at(clock.now + took, [this, i, id] { finish(i, id); });
        }
    }

    void finish(std::size_t i, std::string const& id)
    {
        auto const& request = requests[i];
        --desks.at(id).running;
        auto& pool = pools[request.process];
        auto const took = clock.now - request.sent_at;
        fleet::note_request_ended(pool, id, {request.expected_work});
        fleet::note_answer_time(pool, id, took, clock.now, request.expected_work);
        fleet::note_cost(costs[request.process], "desk", "", request.body_bytes, took);
        add_completion(result, clock.now - request.arrived, lookup_target);
        serve(id);
    }
};

void print(std::string_view name, figures const& all)
{
    auto const total = static_cast<double>(all.total);
    fmt::print("{:<44}{:>10.2f}{:>12.3f}{:>10}{:>8}\n", name,
               100 * static_cast<double>(all.late) / total, all.sum_s / total, all.refused,
               all.moves);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    constexpr double usual_error = 0.6;
    constexpr double large_error = 1.5;
    fmt::print("seed {}, {} s\n{:<44}{:>10}{:>12}{:>10}{:>8}\n", FLAGS_seed, FLAGS_seconds,
               "groups of samples", "late (%)", "mean (s)", "refused", "moves");
    auto const print_samples = [](std::string_view name, policy used, double hint_error)
    {
        print(name, sample_simulation(used, hint_error).run());
    };
    print_samples("least requests", policy::least_requests, usual_error);
    print_samples("two random choices", policy::two_choices, usual_error);
    print_samples("previous rule", policy::previous, usual_error);
    print_samples("expected work, no moves", policy::expected_work_without_moves, usual_error);
    print_samples("expected work", policy::expected_work, usual_error);
    print_samples("previous rule, wrong hints", policy::previous, large_error);
    print_samples("expected work, wrong hints", policy::expected_work, large_error);
    fmt::print("{:<44}{:>10}{:>12}\n", "plain requests", "late (%)", "mean (s)");
    print("least requests", plain_simulation(policy::least_requests, false).run());
    print("two random choices", plain_simulation(policy::two_choices, false).run());
    print("previous rule", plain_simulation(policy::previous, false).run());
    print("expected work, all costs alike", plain_simulation(policy::expected_work, false).run());
    print("expected work", plain_simulation(policy::expected_work, true).run());
    return 0;
}
