// Service of the worst-served team and goodput under overload, on a virtual clock.
//
// "Worst share" is the tokens in time of the worst-served team relative to its max-min fair share;
// "worst other" leaves out the team that floods the service. "p99 wait" is that of the worst other
// team from arrival to start; "goodput" is the tokens in time relative to the capacity.
//
// Entries with a fair queue and upstreams with an admission point are compared with a FIFO queue
// and round-robin choice. One team sends 20 times its share in the first scenario; all teams
// together send three times the capacity in the second one.

#include "admission.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

DEFINE_uint64(seed, 1, "seed of arrivals and lengths");
DEFINE_uint32(seconds, 300, "simulated time, of which the first fifth is not counted");
DEFINE_bool(json, false, "print JSON instead of a table");

namespace
{

using namespace gooseberrywood;
using namespace std::chrono_literals;

constexpr std::size_t team_count = 8;
constexpr std::size_t entry_count = 4;
constexpr std::size_t upstream_count = 4;
/// Streams that an upstream runs at full speed; with more, all become slower.
constexpr std::uint32_t full_speed_streams = 8;
constexpr std::uint32_t upstream_limit = 16;
constexpr double token_seconds = 0.010;
constexpr double mean_generated = 200;
constexpr std::uint32_t prompt_tokens = 50;
constexpr base::duration patience = 30s;
constexpr double capacity = upstream_count * full_speed_streams / token_seconds;

struct policy
{
    std::string name;
    /// Queues see the teams; otherwise all requests are one team's, which makes the queues FIFO.
    bool sees_teams = true;
    bool sees_deadlines = true;
    bool least_loaded = true;
};

struct scenario
{
    std::string name;
    /// Offered load of each team as a multiple of an equal share of the capacity.
    std::array<double, team_count> load{};
};

struct arrival
{
    std::uint64_t number = 0;
    std::size_t team = 0;
    std::uint32_t generated = 1;
    base::mono_time at{};
    /// Team and deadline as the queues see them.
    std::string queue_team;
    base::mono_time deadline{};
    /// From then on the entry does not hand the request to an upstream.
    base::mono_time latest_dispatch{};
};

admission::queue_tag queue_tag_of(arrival const& item)
{
    return {{item.number, 0},
            item.queue_team,
            "",
            "",
            prompt_tokens + static_cast<std::uint32_t>(mean_generated),
            0,
            item.latest_dispatch};
}

struct team_result
{
    double offered = 0;
    double good_tokens = 0;
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::vector<double> waits;
    std::vector<double> refusal_times;
};

struct simulation
{
    policy rules;
    std::mt19937_64 random;
    base::mono_time now{1000s};
    base::mono_time counted_from{};
    std::multimap<base::mono_time, std::function<void()>> events;
    std::vector<admission::admission_controller> upstreams;
    std::vector<admission::fair_queue<arrival>> entries{entry_count};
    /// Requests under way, by entry and upstream.
    std::array<std::array<std::uint32_t, upstream_count>, entry_count> outstanding{};
    std::unordered_map<std::uint64_t, arrival> known;
    std::array<team_result, team_count> results;
    std::uint64_t next_number = 0;
    std::size_t turn = 0;
};

void refuse(simulation& run, std::uint64_t number)
{
    auto const found = run.known.find(number);
    auto& result = run.results[found->second.team];
    if (found->second.at >= run.counted_from)
    {
        ++result.refused;
        result.refusal_times.push_back(
            std::chrono::duration<double>(run.now - found->second.at).count());
    }
    run.known.erase(found);
}

void refuse_at(simulation& run, std::size_t upstream, admission::refusal const& refused)
{
    --run.outstanding[refused.entry][upstream];
    refuse(run, refused.id.high);
}

void serve_entry(simulation& run, std::size_t entry);

void serve_upstream(simulation& run, std::size_t upstream)
{
    auto& point = run.upstreams[upstream];
    for (bool again = true; again;)
    {
        auto const answer = start_next(point, run.now);
        for (auto const& refused : answer.refused)
        {
            refuse_at(run, upstream, refused);
        }
        again = answer.start.has_value();
        if (!again)
        {
            return;
        }
        auto const entry = answer.start->entry;
        auto const item = run.known.at(answer.start->request.id.high);
        auto const slow =
            std::max(1.0, static_cast<double>(point.concurrency.running) / full_speed_streams);
        auto const token = base::duration(static_cast<std::int64_t>(slow * token_seconds * 1e6));
        auto const total = token * (item.generated + 4);
        if (item.at >= run.counted_from)
        {
            run.results[item.team].waits.push_back(
                std::chrono::duration<double>(run.now - item.at).count());
        }
        run.events.emplace(run.now + total,
                           [&run, upstream, entry, item, token, total]
                           {
                               if (run.now >= run.counted_from && run.now <= item.at + patience)
                               {
                                   run.results[item.team].good_tokens += item.generated;
                               }
                               run.known.erase(item.number);
                               --run.outstanding[entry][upstream];
                               finish_attempt(run.upstreams[upstream], {item.number, 0}, 1,
                                              {admission::attempt_outcome::completed,
                                               item.generated, prompt_tokens, token * 4, total},
                                              run.now);
                               serve_upstream(run, upstream);
                               for (std::size_t i = 0; i < entry_count; ++i)
                               {
                                   serve_entry(run, (entry + i) % entry_count);
                               }
                           });
    }
}

/// The upstream to use next, or nothing when no credit is left.
std::optional<std::size_t> choose(simulation& run, std::size_t entry)
{
    std::optional<std::size_t> best;
    auto const load_of = [&](std::size_t upstream)
    {
        auto const report = load(run.upstreams[upstream], run.now);
        return static_cast<double>(report.running + report.queued) / report.limit;
    };
    for (std::size_t i = 0; i < upstream_count; ++i)
    {
        auto const upstream = (run.turn + i) % upstream_count;
        auto const credit = run.upstreams[upstream].shares.entries.at(entry).share;
        if (run.outstanding[entry][upstream] < credit &&
            (!best || (run.rules.least_loaded && load_of(upstream) < load_of(*best))))
        {
            best = upstream;
        }
    }
    ++run.turn;
    return best;
}

void serve_entry(simulation& run, std::size_t entry)
{
    auto& queue = run.entries[entry];
    for (auto const& item : expire(queue, run.now))
    {
        refuse(run, item.number);
    }
    while (size(queue) > 0)
    {
        auto const upstream = choose(run, entry);
        if (!upstream)
        {
            return;
        }
        auto const item = pick(queue, run.now, [](arrival const&) { return true; });
        admission::queued_start start;
        start.request.id = {item->number, 0};
        start.request.attempt = 1;
        start.request.team = item->queue_team;
        start.request.cost = queue_tag_of(*item).cost;
        start.entry = entry;
        start.deadline = item->deadline;
        ++run.outstanding[entry][*upstream];
        auto const answer = offer(run.upstreams[*upstream], start, run.now);
        if (answer.refused)
        {
            refuse_at(run, *upstream, *answer.refused);
        }
        serve_upstream(run, *upstream);
    }
}

base::duration average_latency(simulation const& run)
{
    base::duration latency{0};
    for (auto const& point : run.upstreams)
    {
        latency += load(point, run.now).latency / upstream_count;
    }
    return latency;
}

void schedule_arrival(simulation& run, std::size_t team, double per_second)
{
    std::exponential_distribution<double> gap(per_second);
    auto const wait = base::duration(static_cast<std::int64_t>(gap(run.random) * 1e6));
    run.events.emplace(run.now + wait,
                       [&run, team, per_second]
                       {
                           std::geometric_distribution<std::uint32_t> length(1 / mean_generated);
                           arrival item;
                           item.number = ++run.next_number;
                           item.team = team;
                           item.generated = 1 + length(run.random);
                           item.at = run.now;
                           item.queue_team = run.rules.sees_teams ? std::to_string(team) : "all";
                           auto const entry = item.number % entry_count;
                           item.deadline = run.now + (run.rules.sees_deadlines ? patience : 600s);
                           item.latest_dispatch = admission::latest_dispatch(
                               item.deadline, run.now,
                               average_latency(run) * queue_tag_of(item).cost);
                           auto& result = run.results[team];
                           if (item.at >= run.counted_from)
                           {
                               result.offered += item.generated;
                               ++result.requests;
                           }
                           run.known.emplace(item.number, item);
                           if (run.now + expected_wait(run.entries[entry], item.queue_team) >
                                   item.latest_dispatch ||
                               push(run.entries[entry], item))
                           {
                               refuse(run, item.number);
                           }
                           serve_entry(run, entry);
                           schedule_arrival(run, team, per_second);
                       });
}

void schedule_rebalance(simulation& run)
{
    run.events.emplace(run.now + 1s,
                       [&run]
                       {
                           for (auto& point : run.upstreams)
                           {
                               (void)rebalance(point, run.now);
                           }
                           for (std::size_t entry = 0; entry < entry_count; ++entry)
                           {
                               serve_entry(run, entry);
                           }
                           schedule_rebalance(run);
                       });
}

double percentile(std::vector<double> values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    auto const at =
        values.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

/// Max-min fair tokens of each team: small demands are met, the others share the rest equally.
std::array<double, team_count> fair_shares(std::array<double, team_count> const& demand,
                                           double available)
{
    std::array<std::size_t, team_count> order{};
    for (std::size_t i = 0; i < team_count; ++i)
    {
        order[i] = i;
    }
    std::sort(order.begin(), order.end(),
              [&](std::size_t left, std::size_t right) { return demand[left] < demand[right]; });
    std::array<double, team_count> shares{};
    for (std::size_t i = 0; i < team_count; ++i)
    {
        shares[order[i]] =
            std::min(demand[order[i]], available / static_cast<double>(team_count - i));
        available -= shares[order[i]];
    }
    return shares;
}

nlohmann::json simulate(policy const& rules, scenario const& offered)
{
    simulation run;
    run.rules = rules;
    run.random.seed(FLAGS_seed);
    base::duration const length = std::chrono::seconds(FLAGS_seconds);
    auto const end = run.now + length;
    run.counted_from = run.now + length / 5;
    for (std::size_t i = 0; i < upstream_count; ++i)
    {
        run.upstreams.push_back(admission::make_admission_controller(
            {.concurrency = {.fresh_limit = 2, .max_limit = upstream_limit, .warm_up = 10s},
             .attempts = {}},
            run.now));
        for (std::size_t entry = 0; entry < entry_count; ++entry)
        {
            connect(run.upstreams.back(), entry);
        }
    }
    for (std::size_t team = 0; team < team_count; ++team)
    {
        schedule_arrival(run, team, offered.load[team] * capacity / team_count / mean_generated);
    }
    schedule_rebalance(run);
    while (run.events.begin()->first <= end)
    {
        auto event = run.events.extract(run.events.begin());
        run.now = event.key();
        event.mapped()();
    }

    auto const available = capacity * std::chrono::duration<double>(end - run.counted_from).count();
    std::array<double, team_count> demand{};
    for (std::size_t i = 0; i < team_count; ++i)
    {
        demand[i] = run.results[i].offered;
    }
    auto const shares = fair_shares(demand, available);
    double worst = 1e9;
    double worst_other = 1e9;
    double worst_wait = 0;
    double good = 0;
    double refused = 0;
    double requests = 0;
    std::vector<double> refusal_times;
    for (std::size_t i = 0; i < team_count; ++i)
    {
        auto const& result = run.results[i];
        worst = std::min(worst, result.good_tokens / shares[i]);
        // The team that floods the service waits for itself.
        if (offered.load[i] <= 3)
        {
            worst_other = std::min(worst_other, result.good_tokens / shares[i]);
            worst_wait = std::max(worst_wait, percentile(result.waits, 0.99));
        }
        good += result.good_tokens;
        refused += static_cast<double>(result.refused);
        requests += static_cast<double>(result.requests);
        refusal_times.insert(refusal_times.end(), result.refusal_times.begin(),
                             result.refusal_times.end());
    }
    return {{"scenario", offered.name},      {"policy", rules.name},
            {"worst_team_share", worst},     {"worst_other_share", worst_other},
            {"p99_wait_s", worst_wait},      {"goodput", good / available},
            {"refused", refused / requests}, {"median_refusal_s", percentile(refusal_times, 0.5)}};
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("fairness of the queues on a virtual clock");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<scenario> scenarios{{"one team at 20x its share", {}}, {"all at 3x capacity", {}}};
    // With more, the other teams would wait long on their share alone: their arrivals are random.
    scenarios[0].load.fill(0.5);
    scenarios[0].load[0] = 20;
    scenarios[1].load.fill(3);
    std::vector<policy> const policies{{"fair queue", true, true, true},
                                       {"FIFO, deadlines", false, true, false},
                                       {"plain FIFO", false, false, false}};
    auto rows = nlohmann::json::array();
    for (auto const& offered : scenarios)
    {
        for (auto const& rules : policies)
        {
            rows.push_back(simulate(rules, offered));
        }
    }
    if (FLAGS_json)
    {
        fmt::print("{}\n", nlohmann::json(
                               {{"seed", FLAGS_seed}, {"seconds", FLAGS_seconds}, {"rows", rows}})
                               .dump());
        return 0;
    }
    fmt::print("seed {}, {} s simulated\n", FLAGS_seed, FLAGS_seconds);
    fmt::print("{:26} {:16} {:>11} {:>11} {:>9} {:>8} {:>8} {:>11}\n", "scenario", "policy",
               "worst share", "worst other", "p99 wait", "goodput", "refused", "refusal p50");
    for (auto const& row : rows)
    {
        auto const value = [&](char const* name)
        {
            return row[name].get<double>();
        };
        fmt::print("{:26} {:16} {:>11.3f} {:>11.3f} {:>7.2f} s {:>8.3f} {:>8.3f} {:>9.2f} s\n",
                   row["scenario"].get<std::string>(), row["policy"].get<std::string>(),
                   value("worst_team_share"), value("worst_other_share"), value("p99_wait_s"),
                   value("goodput"), value("refused"), value("median_refusal_s"));
    }
    for (std::size_t i = 0; i < rows.size(); i += policies.size())
    {
        auto const share = [&](std::size_t row)
        {
            return rows[row]["worst_team_share"].get<double>();
        };
        fmt::print(
            "{}: worst share of the fair queue is {:.1f} times that of FIFO with deadlines\n",
            rows[i]["scenario"].get<std::string>(), share(i) / std::max(share(i + 1), 1e-3));
    }
    return 0;
}
