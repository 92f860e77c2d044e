// Compares the choice of upstream with round robin on a virtual clock: nine upstreams in three
// failure domains, three entries, lagging load reports. One domain is lost with all it runs and
// returns cold. All policies see the same requests.

#include "routing/choose.hpp"
#include "routing/prefix_hints.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the requests and of the choices");
DEFINE_uint64(seconds, 600, "simulated time; the domain leaves at 1/3 and returns at 1/2");
DEFINE_double(load, 0.45,
              "offered load as a share of what all warm upstreams can do when every prefix hits");

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t upstream_count = 9;
constexpr std::size_t domain_count = 3;
constexpr std::size_t entry_count = 3;
constexpr std::uint32_t fresh_limit = 1;
constexpr std::uint32_t max_limit = 8;
constexpr base::duration warm_up = 60s;
constexpr base::duration report_interval = 100ms;
constexpr base::duration report_lag = 50ms;
constexpr base::duration prefill_hit = 30ms;
constexpr base::duration prefill_miss = 250ms;
constexpr double mean_decode_s = 0.4;
/// Prefixes in use, and how many fit into the cache of one upstream.
constexpr std::size_t prefix_count = 200;
constexpr std::size_t cache_prefixes = 40;
/// Cache events arrive late, and some are lost.
constexpr base::duration hint_lag = 300ms;
constexpr int hint_loss_percent = 30;
/// Left out of the figures of normal operation, since all caches are empty at the start.
constexpr base::duration settle = 20s;
constexpr base::duration window = 5s;

enum class policy
{
    choose,
    choose_without_hints,
    round_robin_credit,
    round_robin,
};

struct job
{
    base::mono_time arrived{};
    std::uint64_t prefix = 0;
    base::duration decode{};
    std::size_t entry = 0;
    routing::attempt_ticket ticket{};
};

struct worker
{
    bool up = true;
    std::uint64_t generation = 1;
    base::mono_time warm_at{};
    std::vector<std::size_t> running;
    std::deque<std::size_t> queued;
    std::list<std::uint64_t> cache;
};

struct entry
{
    routing::upstream_table table;
    std::vector<routing::agent_session> sessions;
    routing::prefix_hints hints;
    std::deque<std::size_t> queue;
    std::size_t next = 0;
};

struct figures
{
    std::vector<std::pair<base::mono_time, base::duration>> waits;
    std::vector<base::mono_time> completions;
    std::uint64_t hits = 0;
    std::uint64_t starts = 0;
};

base::mono_time const begin{1h};

class simulation
{
public:
    explicit simulation(policy used)
        : used(used), random(FLAGS_seed), end(begin + std::chrono::seconds(FLAGS_seconds)),
          leaves(begin + std::chrono::seconds(FLAGS_seconds) / 3),
          returns(begin + std::chrono::seconds(FLAGS_seconds) / 2), workers(upstream_count),
          entries(entry_count)
    {
        for (auto& own : entries)
        {
            for (std::size_t i = 0; i < upstream_count; ++i)
            {
                own.sessions.push_back(connect(own, i));
            }
        }
        make_requests();
        at(begin, [this] { report(); });
        at(leaves, [this] { leave(); });
        at(returns, [this] { come_back(); });
    }

    figures run()
    {
        while (!events.empty())
        {
            auto event = events.extract(events.begin());
            now = event.key();
            event.mapped()();
        }
        return std::move(result);
    }

private:
    policy used;
    std::mt19937_64 random;
    base::mono_time now = begin;
    base::mono_time end;
    base::mono_time leaves;
    base::mono_time returns;
    std::vector<worker> workers;
    std::vector<entry> entries;
    std::vector<job> jobs;
    std::multimap<base::mono_time, std::function<void()>> events;
    figures result;

    void at(base::mono_time time, std::function<void()> call)
    {
        events.emplace(time, std::move(call));
    }

    void make_requests()
    {
        // A generator of its own, so that the requests don't depend on the policy's choices.
        std::mt19937_64 source(FLAGS_seed + 1);
        auto const busy_s = mean_decode_s + std::chrono::duration<double>(prefill_hit).count();
        auto const rate = FLAGS_load * upstream_count * max_limit / busy_s;
        std::exponential_distribution<double> gap(rate);
        std::exponential_distribution<double> decode(1.0 / mean_decode_s);
        std::vector<double> weights(prefix_count);
        for (std::size_t i = 0; i < prefix_count; ++i)
        {
            weights[i] = 1.0 / static_cast<double>(i + 5);
        }
        std::discrete_distribution<std::uint64_t> prefix(weights.begin(), weights.end());
        auto const as_duration = [](double seconds)
        {
            return base::duration(static_cast<std::int64_t>(seconds * 1e6));
        };
        for (auto time = begin; time < end; time += as_duration(gap(source)))
        {
            auto const id = jobs.size();
            jobs.push_back({time, (prefix(source) + 1) * 0x9e3779b97f4a7c15U,
                            as_duration(decode(source)), source() % entry_count});
            at(time,
               [this, id]
               {
                   auto& own = entries[jobs[id].entry];
                   own.queue.push_back(id);
                   place(own);
               });
        }
    }

    routing::agent_session connect(entry& own, std::size_t i)
    {
        wire::hello hello;
        hello.host = "host-" + std::to_string(i);
        hello.domain = "domain-" + std::to_string(i % domain_count);
        hello.incarnation = workers[i].generation;
        hello.upstreams = {{"u", "lm"}};
        return routing::connect_agent(own.table, hello);
    }

    std::uint32_t limit(worker const& own) const
    {
        if (now >= own.warm_at)
        {
            return max_limit;
        }
        auto const share = 1.0 - static_cast<double>((own.warm_at - now).count()) /
                                     static_cast<double>(warm_up.count());
        return fresh_limit + static_cast<std::uint32_t>(share * (max_limit - fresh_limit));
    }

    void report()
    {
        for (std::size_t i = 0; i < upstream_count; ++i)
        {
            auto const& own = workers[i];
            if (!own.up)
            {
                continue;
            }
            auto const current = limit(own);
            wire::credit const credit{"u",
                                      std::max<std::uint32_t>(1, 2 * current / entry_count),
                                      current,
                                      static_cast<std::uint32_t>(own.running.size()),
                                      static_cast<std::uint32_t>(own.queued.size()),
                                      500'000,
                                      true};
            at(now + report_lag,
               [this, i, credit, generation = own.generation]
               {
                   for (auto& entry : entries)
                   {
                       if (workers[i].up && workers[i].generation == generation)
                       {
                           routing::apply_credit(entry.table, entry.sessions[i], credit, now);
                           place(entry);
                       }
                   }
                   serve(i);
               });
        }
        if (now < end)
        {
            at(now + report_interval, [this] { report(); });
        }
    }

    std::optional<routing::upstream_id> pick(entry& own, job const& request)
    {
        auto const& route = *routing::find_route(own.table, "lm");
        if (used == policy::choose || used == policy::choose_without_hints)
        {
            auto const hinted = routing::hinted_upstreams(own.hints, request.prefix, now);
            routing::choice_request wanted{.route = "lm", .prefix = request.prefix};
            if (used == policy::choose)
            {
                wanted.hinted = hinted;
            }
            auto const chosen = routing::choose(own.table, wanted, now, random);
            return chosen ? std::optional(chosen->upstream) : std::nullopt;
        }
        for (std::size_t i = 0; i < route.ring.size(); ++i)
        {
            auto const index = route.ring[own.next++ % route.ring.size()].upstream;
            auto const& upstream = own.table.upstreams[index];
            if (used == policy::round_robin || upstream.in_flight < upstream.credit)
            {
                return routing::upstream_id{index, upstream.epoch};
            }
        }
        return std::nullopt;
    }

    void place(entry& own)
    {
        while (!own.queue.empty())
        {
            auto const id = own.queue.front();
            auto const chosen = pick(own, jobs[id]);
            if (!chosen)
            {
                return;
            }
            own.queue.pop_front();
            jobs[id].ticket = routing::begin_attempt(own.table, *chosen);
            auto const at_worker = own.table.upstreams[chosen->index].agent;
            workers[at_worker].queued.push_back(id);
            serve(at_worker);
        }
    }

    void serve(std::size_t i)
    {
        auto& own = workers[i];
        while (!own.queued.empty() && own.running.size() < limit(own))
        {
            auto const id = own.queued.front();
            own.queued.pop_front();
            own.running.push_back(id);
            auto const& request = jobs[id];
            auto const cached = std::ranges::find(own.cache, request.prefix);
            auto const hit = cached != own.cache.end();
            if (hit)
            {
                own.cache.erase(cached);
            }
            own.cache.push_front(request.prefix);
            if (own.cache.size() > cache_prefixes)
            {
                own.cache.pop_back();
            }
            result.waits.emplace_back(now, now - request.arrived);
            result.hits += hit ? 1 : 0;
            ++result.starts;
            if (random() % 100 >= hint_loss_percent)
            {
                at(now + hint_lag, [this, prefix = request.prefix,
                                    upstream = request.ticket.upstream, from = request.entry]
                   { routing::record_cached(entries[from].hints, prefix, upstream, now); });
            }
            at(now + request.decode + (hit ? prefill_hit : prefill_miss),
               [this, i, id, generation = own.generation]
               {
                   if (workers[i].generation == generation)
                   {
                       finish(i, id);
                   }
               });
        }
    }

    void finish(std::size_t i, std::size_t id)
    {
        std::erase(workers[i].running, id);
        result.completions.push_back(now);
        auto& own = entries[jobs[id].entry];
        routing::end_attempt(own.table, jobs[id].ticket);
        serve(i);
        place(own);
    }

    void leave()
    {
        for (std::size_t i = 0; i < upstream_count; i += domain_count)
        {
            auto& own = workers[i];
            own.up = false;
            ++own.generation;
            for (auto& entry : entries)
            {
                routing::disconnect_agent(entry.table, entry.sessions[i]);
            }
            own.queued.insert(own.queued.end(), own.running.begin(), own.running.end());
            for (auto const id : own.queued)
            {
                entries[jobs[id].entry].queue.push_front(id);
            }
            own.queued.clear();
            own.running.clear();
            own.cache.clear();
        }
        std::ranges::for_each(entries, [this](entry& own) { place(own); });
    }

    void come_back()
    {
        for (std::size_t i = 0; i < upstream_count; i += domain_count)
        {
            workers[i].up = true;
            workers[i].warm_at = now + warm_up;
            for (auto& own : entries)
            {
                own.sessions[i] = connect(own, i);
            }
        }
    }
};

base::duration quantile(std::vector<base::duration> values, double share)
{
    if (values.empty())
    {
        return {};
    }
    auto const at = values.begin() +
                    static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, at);
    return *at;
}

std::vector<base::duration> waits_in(figures const& all, base::mono_time from, base::mono_time to)
{
    std::vector<base::duration> values;
    for (auto const& [time, wait] : all.waits)
    {
        if (from <= time && time < to)
        {
            values.push_back(wait);
        }
    }
    return values;
}

double rate_in(figures const& all, base::mono_time from, base::mono_time to)
{
    auto const count = std::ranges::count_if(all.completions, [&](base::mono_time time)
                                             { return from <= time && time < to; });
    return static_cast<double>(count) / std::chrono::duration<double>(to - from).count();
}

/// Start of the first three windows in a row whose p99 wait is within the bound.
double seconds_until_normal(figures const& all, base::mono_time from, base::mono_time to,
                            base::duration bound)
{
    int normal = 0;
    for (auto time = from; time + window <= to; time += window)
    {
        normal = quantile(waits_in(all, time, time + window), 0.99) <= bound ? normal + 1 : 0;
        if (normal == 3)
        {
            return std::chrono::duration<double>(time - 2 * window - from).count();
        }
    }
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto const total = base::duration(std::chrono::seconds(FLAGS_seconds));
    auto const leaves = begin + total / 3;
    auto const returns = begin + total / 2;
    auto const ms = [](base::duration value)
    {
        return static_cast<double>(value.count()) / 1000;
    };

    std::vector<std::vector<double>> columns;
    base::duration normal{};
    for (auto const used : {policy::choose, policy::choose_without_hints,
                            policy::round_robin_credit, policy::round_robin})
    {
        auto const all = simulation(used).run();
        auto const before = waits_in(all, begin + settle, leaves);
        if (used == policy::choose)
        {
            // One bound for all policies: twice the normal p99 of choose, at least 100 ms.
            normal = std::max(2 * quantile(before, 0.99), base::duration(100ms));
        }
        auto const out = waits_in(all, leaves, returns);
        auto const ramp = waits_in(all, returns, returns + warm_up);
        columns.push_back({ms(quantile(before, 0.5)), ms(quantile(before, 0.99)),
                           100.0 * static_cast<double>(all.hits) / static_cast<double>(all.starts),
                           ms(quantile(out, 0.99)), rate_in(all, leaves, returns),
                           ms(quantile(ramp, 0.99)), rate_in(all, returns, returns + warm_up),
                           seconds_until_normal(all, returns, begin + total, normal)});
    }
    std::vector<std::string> const names{"p50 wait, normal (ms)",
                                         "p99 wait, normal (ms)",
                                         "prefix hits (%)",
                                         "p99 wait, domain out (ms)",
                                         "throughput, domain out (1/s)",
                                         "p99 wait, cold return (ms)",
                                         "throughput, cold return (1/s)",
                                         "wait normal after return (s)"};
    fmt::print("seed {}, {} s, load {:.2f}, normal means p99 below {:.0f} ms\n", FLAGS_seed,
               FLAGS_seconds, FLAGS_load, ms(normal));
    fmt::print("{:<30}{:>10}{:>10}{:>12}{:>12}{:>12}{:>12}\n", "", "choose", "no hints",
               "rr+credit", "rr", "rr+c/choose", "rr/choose");
    for (std::size_t row = 0; row < names.size(); ++row)
    {
        auto const ratio = [&](std::size_t column)
        {
            auto const own = columns[0][row];
            return own > 0 ? fmt::format("{:.2f}", columns[column][row] / own) : std::string("-");
        };
        fmt::print("{:<30}{:>10.1f}{:>10.1f}{:>12.1f}{:>12.1f}{:>12}{:>12}\n", names[row],
                   columns[0][row], columns[1][row], columns[2][row], columns[3][row], ratio(2),
                   ratio(3));
    }
    return 0;
}
