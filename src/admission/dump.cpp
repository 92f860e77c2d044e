#include "admission/dump.hpp"

#include "base/result_code.hpp"

#include <chrono>
#include <string>

namespace gooseberrywood::admission
{

namespace
{

using nlohmann::json;

std::int64_t milliseconds(base::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

json dump_signal(latency_signal const& signal)
{
    return {{"average_us", average_us(signal)},
            {"baseline_us", baseline_us(signal)},
            {"samples", signal.samples}};
}

json dump_limiter(limiter const& concurrency, base::mono_time now)
{
    return {{"limit", limit(concurrency, now)},
            {"envelope", envelope(concurrency, now)},
            {"fresh_limit", concurrency.settings.fresh_limit},
            {"max_limit", concurrency.settings.max_limit},
            {"wanted", concurrency.wanted},
            {"running", concurrency.running},
            {"slow_start", concurrency.slow_start},
            {"serving_for_ms", milliseconds(now - concurrency.serving_since)},
            {"first_token", dump_signal(concurrency.first_token)},
            {"token", dump_signal(concurrency.token)},
            {"answer", dump_signal(concurrency.answer)}};
}

json dump_teams(fair_queue<queued_start> const& queue)
{
    auto teams = json::array();
    for (auto const& [name, team] : queue.teams)
    {
        teams.push_back({{"team", name},
                         {"weight", team.limits.weight},
                         {"counter", team.counter},
                         {"queued", team.count},
                         {"queued_bytes", team.bytes}});
    }
    return teams;
}

json dump_running(admission_controller const& controller, base::mono_time now)
{
    auto attempts = json::array();
    for (auto const& [key, attempt] : controller.running)
    {
        attempts.push_back({{"request", base::to_string(key.id)},
                            {"attempt", key.attempt},
                            {"team", attempt.team},
                            {"idempotent", attempt.idempotent},
                            {"cost", attempt.cost},
                            {"crashes", attempt.crash_ids.size()},
                            {"running_for_ms", milliseconds(now - attempt.started_at)},
                            {"deadline_in_ms", milliseconds(attempt.deadline - now)}});
    }
    return attempts;
}

json dump_ledger(ledger const& attempts)
{
    return {{"entries", attempts.entries.size()},
            {"max_entries", attempts.settings.max_entries},
            {"full", is_full(attempts)}};
}

json dump_shares(credit_shares const& shares)
{
    auto entries = json::array();
    for (auto const& [number, entry] : shares.entries)
    {
        entries.push_back({{"entry", number},
                           {"share", entry.share},
                           {"outstanding", entry.outstanding},
                           {"demand", entry.demand}});
    }
    return entries;
}

} // namespace

json dump(admission_controller const& controller, base::mono_time now)
{
    return {{"limiter", dump_limiter(controller.concurrency, now)},
            {"teams", dump_teams(controller.queue)},
            {"queued", size(controller.queue)},
            {"running", dump_running(controller, now)},
            {"ledger", dump_ledger(controller.attempts)},
            {"shares", dump_shares(controller.shares)},
            {"suspect_fingerprints", controller.marks.by_fingerprint.size()},
            {"refusing", controller.drain_code
                             ? json(std::string(base::info(*controller.drain_code).name))
                             : json()}};
}

json dump(claims const& table)
{
    return {{"claims", table.records.size()}, {"max_claims", table.max_claims}};
}

} // namespace gooseberrywood::admission
