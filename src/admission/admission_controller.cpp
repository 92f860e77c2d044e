#include "admission/admission_controller.hpp"

#include "base/invariant.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberrywood::admission
{

namespace
{

/// Bounds of the hint when to try again: shorter would busy the entries, longer would leave the
/// upstream idle after a burst.
constexpr base::duration shortest_retry = std::chrono::milliseconds(100);
constexpr base::duration longest_retry = std::chrono::seconds(5);

refusal make_refusal(queued_start const& item, base::result_code code, bool not_run,
                     base::mono_time retry_at)
{
    return {item.request.id, item.request.attempt, item.entry, code, not_run, retry_at};
}

/// The longer one of two estimates: the wait if the upstream served nobody but this team, and the
/// wait by the team's recent picks.
base::duration wait_of_team(admission_controller const& point, std::string_view team,
                            base::mono_time now)
{
    return std::max(
        expected_wait(point.service, size(point.queue, team), limit(point.concurrency, now)),
        expected_wait(point.queue, team));
}

base::mono_time retry_time(admission_controller const& point, std::string_view team,
                           base::mono_time now)
{
    return now + std::clamp(wait_of_team(point, team, now), shortest_retry, longest_retry);
}

/// Writes the tombstone of an attempt that left the queue, and only then builds the refusal.
refusal refuse_queued(admission_controller& point, queued_start const& item, base::result_code code,
                      base::mono_time now)
{
    count_end(point.shares, item.entry);
    bool const not_run =
        write_tombstone(point.attempts, item.request.id, item.request.attempt, item.deadline, now);
    return make_refusal(item, code, not_run, retry_time(point, item.request.team, now));
}

std::vector<refusal> refuse_queued(admission_controller& point,
                                   std::vector<queued_start> const& items, base::result_code code,
                                   base::mono_time now)
{
    std::vector<refusal> refused;
    refused.reserve(items.size());
    for (auto const& item : items)
    {
        refused.push_back(refuse_queued(point, item, code, now));
    }
    return refused;
}

template <class Condition>
std::vector<running_attempt> running_if(admission_controller const& point, Condition&& condition)
{
    std::vector<running_attempt> found;
    for (auto const& [key, attempt] : point.running)
    {
        if (condition(attempt))
        {
            found.push_back(attempt);
        }
    }
    return found;
}

/// Why an item that the ledger admitted can't be queued; `ok` if it can.
base::result_code check_offer(admission_controller const& point, queued_start const& item,
                              base::mono_time now)
{
    if (point.closed)
    {
        return *point.closed;
    }
    if (item.request.crash_ids.size() >= crashes_to_refuse)
    {
        return base::result_code::crash_suspect;
    }
    if (now + wait_of_team(point, item.request.team, now) > item.latest_start)
    {
        return base::result_code::overloaded;
    }
    return base::result_code::ok;
}

/// Under overload the queue serves what is about to expire, and an attempt that starts with just
/// the average time left misses its deadline every other time; 95 % of attempts with exponentially
/// distributed lengths take less than three times the average. The estimate takes at most half of
/// the remaining time, so that an idle upstream tries every request: only completions can correct
/// the estimate.
base::mono_time latest_start(admission_controller const& point, queued_start const& item,
                             base::mono_time now)
{
    auto const needed = 3 * expected_service(point.service, item.request.cost);
    return item.deadline - std::min(needed, (item.deadline - now) / 2);
}

/// Puts waiting items of a newly marked fingerprint into the lane of the suspects.
std::vector<refusal> requeue_suspects(admission_controller& point, std::uint64_t fingerprint,
                                      base::mono_time now)
{
    auto items = remove_if(point.queue, [&](queued_start const& item)
                           { return item.request.fingerprint == fingerprint; });
    std::vector<refusal> refused;
    for (auto& item : items)
    {
        merge_crash_ids(point.marks, fingerprint, item.request.crash_ids, now);
        item.is_suspect = !item.request.crash_ids.empty();
        if (item.request.crash_ids.size() >= crashes_to_refuse)
        {
            refused.push_back(refuse_queued(point, item, base::result_code::crash_suspect, now));
            continue;
        }
        // The item was waiting, so there is room for it, unless the bounds were lowered meanwhile.
        auto const rejected = push(point.queue, std::move(item));
        if (rejected)
        {
            refused.push_back(refuse_queued(point, rejected->item, rejected->code, now));
        }
    }
    return refused;
}

running_attempt record_of(queued_start const& item, base::mono_time now)
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
    admission_controller made;
    made.concurrency = make_limiter(settings.concurrency, now);
    made.attempts.settings = settings.attempts;
    return made;
}

void apply_route(admission_controller& point, bundle::route const& limits)
{
    auto settings = point.concurrency.settings;
    settings.fresh_limit = limits.fresh_limit;
    settings.max_limit = limits.max_limit;
    settings.warm_up = limits.warm_up;
    apply_settings(point.concurrency, settings);
    // Tombstones of fences must outlast every start frame that may still be under way.
    point.attempts.settings.longest_request =
        std::max(point.attempts.settings.longest_request, limits.timeout);
}

void apply_teams(admission_controller& point, std::span<bundle::team const> teams)
{
    for (auto const& team : teams)
    {
        set_team(point.queue, team.name, {team.weight, team.max_queued, team.max_queued_bytes});
    }
    // Teams that are no longer in the bundle would otherwise add up over the life of the process.
    forget_idle_teams(point.queue,
                      [&](std::string_view name)
                      {
                          return std::none_of(teams.begin(), teams.end(),
                                              [&](bundle::team const& team)
                                              { return team.name == name; });
                      });
}

offer_answer offer(admission_controller& point, queued_start item, base::mono_time now)
{
    offer_answer answer;
    auto const id = item.request.id;
    auto const attempt = item.request.attempt;
    // A refused offer shows demand as well.
    count_offer(point.shares, item.entry);
    auto const refuse = [&](queued_start const& refused, base::result_code code, bool not_run)
    {
        count_end(point.shares, refused.entry);
        answer.refused =
            make_refusal(refused, code, not_run, retry_time(point, refused.request.team, now));
    };

    auto const verdict =
        admit(point.attempts, id, attempt, item.request.idempotent, item.deadline, now);
    // The ledger has replaced a lower attempt, or buried it together with a refused higher one.
    auto const* const waiting = find(point.queue, id);
    if (waiting != nullptr && waiting->request.attempt < attempt &&
        (verdict.code == base::result_code::ok || verdict.not_run))
    {
        auto const lower = remove(point.queue, id);
        answer.superseded = refuse_queued(point, *lower, base::result_code::duplicate_attempt, now);
    }
    if (verdict.code != base::result_code::ok)
    {
        refuse(item, verdict.code, verdict.not_run);
        return answer;
    }

    merge_crash_ids(point.marks, item.request.fingerprint, item.request.crash_ids, now);
    item.is_suspect = !item.request.crash_ids.empty();
    item.queued_at = now;
    item.latest_start = latest_start(point, item, now);
    auto const code = check_offer(point, item, now);
    if (code != base::result_code::ok)
    {
        refuse(item, code, write_tombstone(point.attempts, id, attempt, item.deadline, now));
        return answer;
    }
    auto const rejected = push(point.queue, std::move(item));
    if (rejected)
    {
        refuse(rejected->item, rejected->code,
               write_tombstone(point.attempts, id, attempt, rejected->item.deadline, now));
    }
    return answer;
}

next_answer start_next(admission_controller& point, base::mono_time now)
{
    next_answer answer;
    expire(point.attempts, now);
    for (auto const& item : expire(point.queue, now))
    {
        answer.refused.push_back(
            refuse_queued(point, item, base::result_code::deadline_passed, now));
    }
    if (!can_start(point.concurrency, now))
    {
        return answer;
    }
    auto item = pick(point.queue, now,
                     [&](queued_start const& candidate)
                     { return !candidate.is_suspect || point.running_suspects == 0; });
    if (!item)
    {
        return answer;
    }
    auto const& request = item->request;
    base::check_invariant(mark_running(point.attempts, request.id, request.attempt),
                          "an attempt that starts is the highest one and has not started");
    start(point.concurrency, now);
    base::check_invariant(!item->is_suspect || point.running_suspects == 0,
                          "no crash suspect starts beside another one");
    point.running_suspects += item->is_suspect ? 1 : 0;
    point.running.emplace(attempt_key{request.id, request.attempt}, record_of(*item, now));
    answer.start = std::move(item);
    return answer;
}

std::optional<base::mono_time> next_deadline(admission_controller const& point)
{
    if (point.queue.deadlines.empty())
    {
        return std::nullopt;
    }
    return point.queue.deadlines.begin()->first;
}

limit_change finish_attempt(admission_controller& point, base::request_id const& id,
                            std::uint32_t attempt, finish_report const& report, base::mono_time now)
{
    auto const found = point.running.find({id, attempt});
    if (found == point.running.end())
    {
        return limit_change::none;
    }
    auto const& record = found->second;
    auto const tokens = report.generated_tokens + report.prompt_tokens;
    bool const completed = report.outcome == attempt_outcome::completed;
    // Plain services report no tokens; their estimate stands.
    if (tokens > 0 || !completed)
    {
        correct(point.queue, record.team, record.cost, tokens);
    }
    if (completed)
    {
        observe(point.service, report.total, tokens > 0 ? tokens : record.cost);
    }
    mark_done(point.attempts, id, attempt);
    count_end(point.shares, record.entry);
    point.running_suspects -= record.crash_ids.empty() ? 0 : 1;
    latency_sample const sample{record.started_at, report.first_token, report.total,
                                report.generated_tokens, report.prompt_tokens};
    point.running.erase(found);
    return finish(point.concurrency, sample, report.outcome, now);
}

void restart_warm_up(admission_controller& point, base::mono_time now)
{
    restart(point.concurrency, now);
    point.service = {};
}

ended_attempts handle_crash(admission_controller& point, std::uint64_t crash_id,
                            base::mono_time now)
{
    ended_attempts ended;
    for (auto& [key, record] : std::exchange(point.running, {}))
    {
        mark_done(point.attempts, key.id, key.attempt);
        count_end(point.shares, record.entry);
        add(point.marks, record.fingerprint, std::span(&crash_id, 1), now + suspect_lifetime, now);
        auto& lost = ended.running.emplace_back(record);
        lost.crash_ids.push_back(crash_id);
        merge_crash_ids(point.marks, lost.fingerprint, lost.crash_ids, now);
    }
    point.running_suspects = 0;
    point.concurrency.running = 0;
    restart_warm_up(point, now);
    for (auto const& lost : ended.running)
    {
        if (lost.fingerprint != 0)
        {
            auto refused = requeue_suspects(point, lost.fingerprint, now);
            ended.refused.insert(ended.refused.end(), refused.begin(), refused.end());
        }
    }
    return ended;
}

std::vector<refusal> mark_suspect(admission_controller& point, std::uint64_t fingerprint,
                                  std::span<std::uint64_t const> crash_ids,
                                  base::mono_time expires_at, base::mono_time now)
{
    if (fingerprint == 0)
    {
        return {};
    }
    add(point.marks, fingerprint, crash_ids, expires_at, now);
    for (auto& [key, record] : point.running)
    {
        if (record.fingerprint == fingerprint)
        {
            bool const was_suspect = !record.crash_ids.empty();
            merge_crash_ids(point.marks, fingerprint, record.crash_ids, now);
            point.running_suspects += !was_suspect && !record.crash_ids.empty() ? 1 : 0;
        }
    }
    return requeue_suspects(point, fingerprint, now);
}

std::vector<refusal> drain(admission_controller& point, base::result_code code, base::mono_time now)
{
    point.closed = code;
    auto const items = remove_if(point.queue, [](queued_start const&) { return true; });
    return refuse_queued(point, items, code, now);
}

void reopen(admission_controller& point)
{
    point.closed.reset();
}

bool is_idle(admission_controller const& point)
{
    return point.running.empty() && size(point.queue) == 0;
}

cancel_answer cancel(admission_controller& point, base::request_id const& id, std::uint32_t attempt,
                     base::mono_time now)
{
    cancel_answer answer;
    auto const* const waiting = find(point.queue, id);
    if (waiting != nullptr && waiting->request.attempt == attempt)
    {
        auto const item = remove(point.queue, id);
        answer.refused = refuse_queued(point, *item, base::result_code::canceled, now);
    }
    answer.is_running = point.running.contains({id, attempt});
    return answer;
}

bool fence(admission_controller& point, base::request_id const& id, std::uint32_t attempt,
           base::mono_time now)
{
    if (fence(point.attempts, id, attempt, now))
    {
        return true;
    }
    auto const* const waiting = find(point.queue, id);
    if (waiting != nullptr && waiting->request.attempt <= attempt)
    {
        auto const item = remove(point.queue, id);
        count_end(point.shares, item->entry);
    }
    return false;
}

ended_attempts withdraw_key(admission_controller& point, std::string_view key_hash,
                            base::mono_time now)
{
    // Requests of open routes carry no key.
    if (key_hash.empty())
    {
        return {};
    }
    auto const items = remove_key(point.queue, key_hash);
    return {
        refuse_queued(point, items, base::result_code::key_withdrawn, now),
        running_if(point, [&](running_attempt const& one) { return one.key_hash == key_hash; })};
}

void connect(admission_controller& point, std::uint64_t entry)
{
    connect(point.shares, entry);
}

ended_attempts disconnect(admission_controller& point, std::uint64_t entry, base::mono_time now)
{
    disconnect(point.shares, entry);
    auto const items =
        remove_if(point.queue, [&](queued_start const& item) { return item.entry == entry; });
    return {refuse_queued(point, items, base::result_code::canceled, now),
            running_if(point, [&](running_attempt const& one)
                       { return one.entry == entry && one.idempotent; })};
}

std::vector<share_change> rebalance(admission_controller& point, base::mono_time now)
{
    return rebalance(point.shares, limit(point.concurrency, now));
}

load_report load(admission_controller const& point, base::mono_time now)
{
    return {limit(point.concurrency, now), point.concurrency.running,
            static_cast<std::uint32_t>(size(point.queue)),
            base::duration(static_cast<std::int64_t>(std::ceil(point.service.token))),
            !point.closed};
}

} // namespace gooseberrywood::admission
