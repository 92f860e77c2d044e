// Processor time of an offer, the start and the end of a request, by number of teams and of ledger
// entries, and memory of a ledger entry.

#include "admission.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <malloc.h>

#include <chrono>
#include <random>
#include <string>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the request ids and the order of the teams");
DEFINE_uint32(rounds, 30, "rounds of 1,000 requests measured in each row");
DEFINE_bool(json, false, "print JSON instead of a table");

namespace
{

using namespace gooseberrywood;
using namespace std::chrono_literals;

constexpr base::mono_time start_time{1000s};

std::size_t allocated_bytes()
{
    auto const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

constexpr std::size_t requests_a_round = 1000;

/// Time between two requests. One old entry of the ledger passes its horizon in each, so that the
/// ledger keeps its size and the cost of the expiry is included.
constexpr base::duration step = 1ms;

/// Fills a ledger with requests that are done.
void fill(admission::ledger& attempts, std::size_t entries, std::mt19937_64& random)
{
    auto const past = start_time - 10min;
    for (std::size_t i = 0; i < entries; ++i)
    {
        base::request_id const id{random(), random()};
        auto const horizon = start_time + step * static_cast<std::int64_t>(i);
        (void)admit(attempts, id, 1, true, horizon - admission::horizon_margin, past);
        (void)mark_running(attempts, id, 1);
        mark_done(attempts, id, 1);
    }
}

double bytes_per_entry(std::size_t entries)
{
    std::mt19937_64 random(FLAGS_seed);
    admission::ledger attempts;
    attempts.settings.max_entries = 2 * entries;
    auto const before = allocated_bytes();
    fill(attempts, entries, random);
    return static_cast<double>(allocated_bytes() - before) / static_cast<double>(entries);
}

admission::queued_start make_start(std::mt19937_64& random, std::size_t teams)
{
    admission::queued_start item;
    item.request.id = {random(), random()};
    item.request.attempt = 1;
    item.request.team = "team-" + std::to_string(random() % teams);
    item.request.cost = 100 + static_cast<std::uint32_t>(random() % 400);
    item.request.idempotent = true;
    item.request.key_hash = std::string(64, 'a');
    item.request.body = std::string(500, 'x');
    item.deadline = start_time + 1h;
    return item;
}

/// Nanoseconds spent on one round in a steady state: each team has a request waiting, and for each
/// request that ends one is offered and one starts.
double run_round(std::size_t teams, std::size_t entries, std::mt19937_64& random)
{
    constexpr std::uint32_t limit = 16;
    auto point = admission::make_admission_controller(
        {.concurrency = {.fresh_limit = limit, .max_limit = limit},
         .attempts = {.max_entries = 2 * entries + 100'000}},
        start_time);
    connect(point, 0);
    fill(point.attempts, entries, random);
    for (std::size_t i = 0; i < teams + limit; ++i)
    {
        (void)offer(point, make_start(random, teams), start_time);
    }
    std::vector<base::request_id> running;
    while (auto const started = start_next(point, start_time).start)
    {
        running.push_back(started->request.id);
    }
    // Made beforehand, so that only the admission is measured.
    std::vector<admission::queued_start> offered;
    offered.reserve(requests_a_round);
    for (std::size_t i = 0; i < requests_a_round; ++i)
    {
        offered.push_back(make_start(random, teams));
    }
    std::size_t oldest = 0;
    auto now = start_time;
    auto const began = std::chrono::steady_clock::now();
    for (auto& item : offered)
    {
        now += step;
        (void)offer(point, std::move(item), now);
        finish_attempt(point, running[oldest], 1,
                       {admission::attempt_outcome::completed, 200, 50, 1ms, 10ms}, now);
        auto const answer = start_next(point, now);
        if (!answer.start)
        {
            fmt::print(stderr, "the queue ran empty\n");
            std::exit(1);
        }
        running[oldest] = answer.start->request.id;
        oldest = (oldest + 1) % running.size();
    }
    std::chrono::duration<double, std::nano> const spent = std::chrono::steady_clock::now() - began;
    return spent.count();
}

double nanoseconds_a_request(std::size_t teams, std::size_t entries)
{
    std::mt19937_64 random(FLAGS_seed);
    double spent = 0;
    for (std::uint32_t i = 0; i < FLAGS_rounds; ++i)
    {
        spent += run_round(teams, entries, random);
    }
    return spent / static_cast<double>(FLAGS_rounds * requests_a_round);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("cost of the admission");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto rows = nlohmann::json::array();
    for (std::size_t const teams : {10, 100, 1000})
    {
        for (std::size_t const entries : {1'000, 10'000, 100'000})
        {
            rows.push_back({{"teams", teams},
                            {"ledger_entries", entries},
                            {"ns_per_request", nanoseconds_a_request(teams, entries)}});
        }
    }
    auto memory = nlohmann::json::array();
    for (std::size_t const entries : {1'000, 10'000, 100'000})
    {
        memory.push_back(
            {{"ledger_entries", entries}, {"bytes_per_entry", bytes_per_entry(entries)}});
    }
    if (FLAGS_json)
    {
        fmt::print(
            "{}\n",
            nlohmann::json({{"seed", FLAGS_seed}, {"rows", rows}, {"memory", memory}}).dump());
        return 0;
    }
    fmt::print("{:>8} {:>16} {:>16}\n", "teams", "ledger entries", "ns a request");
    for (auto const& row : rows)
    {
        fmt::print("{:>8} {:>16} {:>16.0f}\n", row["teams"].get<std::size_t>(),
                   row["ledger_entries"].get<std::size_t>(), row["ns_per_request"].get<double>());
    }
    for (auto const& row : memory)
    {
        fmt::print("{} ledger entries: {:.0f} bytes each\n",
                   row["ledger_entries"].get<std::size_t>(), row["bytes_per_entry"].get<double>());
    }
    return 0;
}
