#include "admission/admission_controller.hpp"

#include "base/invariant.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberrywood::admission
{

namespace
{

/// Bounds of the suggested delay of a retry: a shorter one would load the entries, a longer one
/// would leave the upstream idle after a burst.
constexpr base::duration min_retry_delay = std::chrono::milliseconds(100);
constexpr base::duration max_retry_delay = std::chrono::seconds(5);

refusal make_refusal(queued_start const& item, base::result_code code, bool not_run,
                     base::mono_time retry_at)
{
    return {item.request.id, item.request.attempt, item.entry, code, not_run, retry_at};
}

/// The larger of two estimates: the wait if the upstream served only this team, and the wait
/// according to the team's recent picks.
base::duration estimated_team_wait(admission_controller const& controller, std::string_view team,
                                   base::mono_time now)
{
    return std::max(expected_wait(controller.service, size(controller.queue, team),
                                  limit(controller.concurrency, now)),
                    expected_wait(controller.queue, team));
}

base::mono_time retry_time(admission_controller const& controller, std::string_view team,
                           base::mono_time now)
{
    return now +
           std::clamp(estimated_team_wait(controller, team, now), min_retry_delay, max_retry_delay);
}

/// Refuses an attempt that was removed from the queue. Its tombstone is written before the refusal
/// is built.
refusal refuse_queued(admission_controller& controller, queued_start const& item,
                      base::result_code code, base::mono_time now)
{
    count_end(controller.shares, item.entry);
    bool const not_run = write_tombstone(controller.attempts, item.request.id, item.request.attempt,
                                         item.deadline, now);
    return make_refusal(item, code, not_run, retry_time(controller, item.request.team, now));
}

std::vector<refusal> refuse_queued(admission_controller& controller,
                                   std::vector<queued_start> const& items, base::result_code code,
                                   base::mono_time now)
{
    std::vector<refusal> refused;
    refused.reserve(items.size());
    for (auto const& item : items)
    {
        refused.push_back(refuse_queued(controller, item, code, now));
    }
    return refused;
}

template <class Condition>
std::vector<running_attempt> copy_running_if(admission_controller const& controller,
                                             Condition&& condition)
{
    std::vector<running_attempt> found;
    for (auto const& [key, attempt] : controller.running)
    {
        if (condition(attempt))
        {
            found.push_back(attempt);
        }
    }
    return found;
}

/// Reason why an item that the ledger admitted can't be queued; `ok` if it can.
base::result_code check_offer(admission_controller const& controller, queued_start const& item,
                              base::mono_time now)
{
    if (controller.drain_code)
    {
        return *controller.drain_code;
    }
    if (item.request.crash_ids.size() >= crashes_to_refuse)
    {
        return base::result_code::crash_suspect;
    }
    if (now + estimated_team_wait(controller, item.request.team, now) > item.latest_start)
    {
        return base::result_code::overloaded;
    }
    return base::result_code::ok;
}

/// Latest start of an attempt. Under overload the queue serves items that are about to expire, and
/// an attempt that starts with only the average time left misses its deadline every other time. If
/// lengths are distributed exponentially, 95 % of the attempts take less than three times the
/// average. The estimate takes at most half of the remaining time, so that an idle upstream tries
/// every request: only completions can correct the estimate.
base::mono_time latest_start(admission_controller const& controller, queued_start const& item,
                             base::mono_time now)
{
    auto const needed = 3 * expected_service(controller.service, item.request.cost);
    return item.deadline - std::min(needed, (item.deadline - now) / 2);
}

/// Moves the queued items of a newly marked fingerprint into the lane of the suspects.
std::vector<refusal> requeue_suspects(admission_controller& controller, std::uint64_t fingerprint,
                                      base::mono_time now)
{
    auto items = remove_if(controller.queue, [&](queued_start const& item)
                           { return item.request.fingerprint == fingerprint; });
    std::vector<refusal> refused;
    for (auto& item : items)
    {
        merge_crash_ids(controller.marks, fingerprint, item.request.crash_ids, now);
        item.is_suspect = !item.request.crash_ids.empty();
        if (item.request.crash_ids.size() >= crashes_to_refuse)
        {
            refused.push_back(
                refuse_queued(controller, item, base::result_code::crash_suspect, now));
            continue;
        }
        // The item was queued before, so there is room for it unless the bounds were lowered
        // meanwhile.
        auto const rejected = push(controller.queue, std::move(item));
        if (rejected)
        {
            refused.push_back(refuse_queued(controller, rejected->item, rejected->code, now));
        }
    }
    return refused;
}

running_attempt make_running_attempt(queued_start const& item, base::mono_time now)
{
    auto const& request = item.request;
    return {request.id,        request.attempt,    item.entry,   request.team,
            request.key_hash,  request.idempotent, request.cost, request.fingerprint,
            request.crash_ids, item.deadline,      now};
}

} // namespace

admission_controller make_admission_controller(admission_settings const& settings,
                                               base::mono_time now)
{
    admission_controller created;
    created.concurrency = make_limiter(settings.concurrency, now);
    created.attempts.settings = settings.attempts;
    return created;
}

void apply_route(admission_controller& controller, bundle::route const& limits)
{
    auto settings = controller.concurrency.settings;
    settings.fresh_limit = limits.fresh_limit;
    settings.max_limit = limits.max_limit;
    settings.warm_up = limits.warm_up;
    apply_settings(controller.concurrency, settings);
    // Tombstones of fences must outlast every Start frame that may still be in transit.
    controller.attempts.settings.longest_request =
        std::max(controller.attempts.settings.longest_request, limits.timeout);
}

void apply_teams(admission_controller& controller, std::span<bundle::team const> teams)
{
    for (auto const& team : teams)
    {
        set_team(controller.queue, team.name,
                 {team.weight, team.max_queued, team.max_queued_bytes});
    }
    // Teams that are no longer in the bundle would otherwise accumulate over the life of the
    // process.
    forget_idle_teams(controller.queue,
                      [&](std::string_view name)
                      {
                          return std::none_of(teams.begin(), teams.end(),
                                              [&](bundle::team const& team)
                                              { return team.name == name; });
                      });
}

offer_result offer(admission_controller& controller, queued_start item, base::mono_time now)
{
    offer_result result;
    auto const id = item.request.id;
    auto const attempt = item.request.attempt;
    // A refused offer counts as demand, too.
    count_offer(controller.shares, item.entry);
    auto const refuse = [&](queued_start const& refused, base::result_code code, bool not_run)
    {
        count_end(controller.shares, refused.entry);
        result.refused =
            make_refusal(refused, code, not_run, retry_time(controller, refused.request.team, now));
    };

    auto const admitted =
        admit(controller.attempts, id, attempt, item.request.idempotent, item.deadline, now);
    // The ledger has replaced a lower attempt, or the tombstone of a refused higher attempt covers
    // it.
    auto const* const waiting = find(controller.queue, id);
    if (waiting != nullptr && waiting->request.attempt < attempt &&
        (admitted.code == base::result_code::ok || admitted.not_run))
    {
        auto const lower = remove(controller.queue, id);
        result.superseded =
            refuse_queued(controller, *lower, base::result_code::duplicate_attempt, now);
    }
    if (admitted.code != base::result_code::ok)
    {
        refuse(item, admitted.code, admitted.not_run);
        return result;
    }

    merge_crash_ids(controller.marks, item.request.fingerprint, item.request.crash_ids, now);
    item.is_suspect = !item.request.crash_ids.empty();
    item.queued_at = now;
    item.latest_start = latest_start(controller, item, now);
    auto const code = check_offer(controller, item, now);
    if (code != base::result_code::ok)
    {
        refuse(item, code, write_tombstone(controller.attempts, id, attempt, item.deadline, now));
        return result;
    }
    auto const rejected = push(controller.queue, std::move(item));
    if (rejected)
    {
        refuse(rejected->item, rejected->code,
               write_tombstone(controller.attempts, id, attempt, rejected->item.deadline, now));
    }
    return result;
}

next_result start_next(admission_controller& controller, base::mono_time now)
{
    next_result result;
    expire(controller.attempts, now);
    for (auto const& item : expire(controller.queue, now))
    {
        result.refused.push_back(
            refuse_queued(controller, item, base::result_code::deadline_passed, now));
    }
    if (!can_start(controller.concurrency, now))
    {
        return result;
    }
    auto item = pick(controller.queue, now,
                     [&](queued_start const& candidate)
                     { return !candidate.is_suspect || controller.running_suspects == 0; });
    if (!item)
    {
        return result;
    }
    auto const& request = item->request;
    base::check_invariant(mark_running(controller.attempts, request.id, request.attempt),
                          "an attempt starts only once and only if it is the highest one");
    start(controller.concurrency, now);
    base::check_invariant(!item->is_suspect || controller.running_suspects == 0,
                          "no crash suspect starts beside another suspect");
    controller.running_suspects += item->is_suspect ? 1 : 0;
    controller.running.emplace(attempt_key{request.id, request.attempt},
                               make_running_attempt(*item, now));
    result.start = std::move(item);
    return result;
}

std::optional<base::mono_time> next_deadline(admission_controller const& controller)
{
    if (controller.queue.deadlines.empty())
    {
        return std::nullopt;
    }
    return controller.queue.deadlines.begin()->first;
}

limit_change finish_attempt(admission_controller& controller, base::request_id const& id,
                            std::uint32_t attempt, finish_report const& report, base::mono_time now)
{
    auto const found = controller.running.find({id, attempt});
    if (found == controller.running.end())
    {
        return limit_change::none;
    }
    auto const& record = found->second;
    auto const tokens = report.generated_tokens + report.prompt_tokens;
    bool const completed = report.outcome == attempt_outcome::completed;
    // Plain services report no tokens; their estimated cost stands.
    if (tokens > 0 || !completed)
    {
        correct(controller.queue, record.team, record.cost, tokens);
    }
    if (completed)
    {
        observe(controller.service, report.total, tokens > 0 ? tokens : record.cost);
    }
    mark_done(controller.attempts, id, attempt);
    count_end(controller.shares, record.entry);
    controller.running_suspects -= record.crash_ids.empty() ? 0 : 1;
    latency_sample const sample{record.started_at, report.first_token, report.total,
                                report.generated_tokens, report.prompt_tokens};
    controller.running.erase(found);
    return finish(controller.concurrency, sample, report.outcome, now);
}

void restart_warm_up(admission_controller& controller, base::mono_time now)
{
    restart(controller.concurrency, now);
    controller.service = {};
}

ended_attempts handle_crash(admission_controller& controller, std::uint64_t crash_id,
                            base::mono_time now)
{
    ended_attempts ended;
    for (auto& [key, record] : std::exchange(controller.running, {}))
    {
        mark_done(controller.attempts, key.id, key.attempt);
        count_end(controller.shares, record.entry);
        add(controller.marks, record.fingerprint, std::span(&crash_id, 1), now + suspect_lifetime,
            now);
        auto& lost = ended.running.emplace_back(record);
        lost.crash_ids.push_back(crash_id);
        merge_crash_ids(controller.marks, lost.fingerprint, lost.crash_ids, now);
    }
    controller.running_suspects = 0;
    controller.concurrency.running = 0;
    restart_warm_up(controller, now);
    for (auto const& lost : ended.running)
    {
        if (lost.fingerprint != 0)
        {
            auto refused = requeue_suspects(controller, lost.fingerprint, now);
            ended.refused.insert(ended.refused.end(), refused.begin(), refused.end());
        }
    }
    return ended;
}

std::vector<refusal> mark_suspect(admission_controller& controller, std::uint64_t fingerprint,
                                  std::span<std::uint64_t const> crash_ids,
                                  base::mono_time expires_at, base::mono_time now)
{
    if (fingerprint == 0)
    {
        return {};
    }
    add(controller.marks, fingerprint, crash_ids, expires_at, now);
    for (auto& [key, record] : controller.running)
    {
        if (record.fingerprint == fingerprint)
        {
            bool const was_suspect = !record.crash_ids.empty();
            merge_crash_ids(controller.marks, fingerprint, record.crash_ids, now);
            controller.running_suspects += !was_suspect && !record.crash_ids.empty() ? 1 : 0;
        }
    }
    return requeue_suspects(controller, fingerprint, now);
}

std::vector<refusal> drain(admission_controller& controller, base::result_code code,
                           base::mono_time now)
{
    controller.drain_code = code;
    auto const items = remove_if(controller.queue, [](queued_start const&) { return true; });
    return refuse_queued(controller, items, code, now);
}

void reopen(admission_controller& controller)
{
    controller.drain_code.reset();
}

bool is_idle(admission_controller const& controller)
{
    return controller.running.empty() && size(controller.queue) == 0;
}

cancel_result cancel(admission_controller& controller, base::request_id const& id,
                     std::uint32_t attempt, base::mono_time now)
{
    cancel_result result;
    auto const* const waiting = find(controller.queue, id);
    if (waiting != nullptr && waiting->request.attempt == attempt)
    {
        auto const item = remove(controller.queue, id);
        result.refused = refuse_queued(controller, *item, base::result_code::canceled, now);
    }
    result.is_running = controller.running.contains({id, attempt});
    return result;
}

bool fence(admission_controller& controller, base::request_id const& id, std::uint32_t attempt,
           base::mono_time now)
{
    if (fence(controller.attempts, id, attempt, now))
    {
        return true;
    }
    auto const* const waiting = find(controller.queue, id);
    if (waiting != nullptr && waiting->request.attempt <= attempt)
    {
        auto const item = remove(controller.queue, id);
        count_end(controller.shares, item->entry);
    }
    return false;
}

ended_attempts withdraw_key(admission_controller& controller, std::string_view key_hash,
                            base::mono_time now)
{
    // Requests of open routes carry no key.
    if (key_hash.empty())
    {
        return {};
    }
    auto const items = remove_key(controller.queue, key_hash);
    return {refuse_queued(controller, items, base::result_code::key_withdrawn, now),
            copy_running_if(controller, [&](running_attempt const& attempt)
                            { return attempt.key_hash == key_hash; })};
}

void connect(admission_controller& controller, std::uint64_t entry)
{
    connect(controller.shares, entry);
}

ended_attempts disconnect(admission_controller& controller, std::uint64_t entry,
                          base::mono_time now)
{
    disconnect(controller.shares, entry);
    auto const items =
        remove_if(controller.queue, [&](queued_start const& item) { return item.entry == entry; });
    return {refuse_queued(controller, items, base::result_code::canceled, now),
            copy_running_if(controller, [&](running_attempt const& attempt)
                            { return attempt.entry == entry && attempt.idempotent; })};
}

std::vector<share_change> rebalance(admission_controller& controller, base::mono_time now)
{
    return rebalance(controller.shares, limit(controller.concurrency, now));
}

load_report load(admission_controller const& controller, base::mono_time now)
{
    return {limit(controller.concurrency, now), controller.concurrency.running,
            static_cast<std::uint32_t>(size(controller.queue)),
            base::duration(static_cast<std::int64_t>(std::ceil(controller.service.token_us))),
            !controller.drain_code};
}

} // namespace gooseberrywood::admission
