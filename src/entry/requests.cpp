#include "entry/requests.hpp"

#include "admission/latest_handover.hpp"
#include "base/log.hpp"
#include "entry/answers.hpp"
#include "entry/completion_answer.hpp"
#include "entry/measure.hpp"
#include "routing/choose.hpp"
#include "routing/prefix_hash.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrywood::entry
{

namespace
{

using routing::decision_kind;

// A route without upstreams may be one whose only agent restarts; it is back within a few seconds.
constexpr base::duration no_upstream_patience = std::chrono::seconds(5);

bool has_upstreams(entry_process const& entry, request const& which)
{
    auto const* route = routing::find_route(entry.upstreams, which.caller.route);
    return route != nullptr && !route->ring.empty();
}

bool is_waiting(request const& which)
{
    return which.log.phase == routing::request_phase::queued && !which.claim;
}

void on_timer(entry_process& entry, base::request_id const& id)
{
    auto* const which = find_request(entry, id);
    if (which == nullptr)
    {
        return;
    }
    if (which->claim)
    {
        (void)routing::check_claim_time(*which->claim, base::mono_now());
    }
    if (is_waiting(*which) && !has_upstreams(entry, *which))
    {
        fail_unplaced(entry, *which,
                      {base::result_code::no_upstream, "no upstream of the route accepts work"});
        return;
    }
    if (is_waiting(*which) && base::mono_now() >= which->latest_handover)
    {
        fail_unplaced(entry, *which, {base::result_code::deadline_passed, ""});
        return;
    }
    carry_out(entry, *which, routing::on_time(which->log, base::mono_now()));
}

void set_timer(entry_process& entry, request& which)
{
    auto wake_at = routing::wake_at(which.log);
    if (is_waiting(which))
    {
        wake_at = std::min(wake_at, which.latest_handover);
    }
    if (is_waiting(which) && !has_upstreams(entry, which))
    {
        wake_at = std::min(wake_at, base::mono_now() + no_upstream_patience);
    }
    which.timer = base::at(wake_at, [&entry, id = which.id] { on_timer(entry, id); });
}

// Gives back the current attempt's place at its upstream.
void leave_upstream(entry_process& entry, request& which)
{
    if (which.ticket)
    {
        routing::end_attempt(entry.upstreams, *which.ticket);
        which.ticket.reset();
        dispatch_soon(entry);
    }
    auto const link = entry.agents.find(which.agent_host);
    if (link != entry.agents.end())
    {
        link->second->requests.erase(which.id);
    }
    which.fence_pending = false;
}

void send_cancel(entry_process& entry, request const& which)
{
    auto const link = entry.agents.find(which.agent_host);
    if (link != entry.agents.end() && is_up(*link->second))
    {
        (void)wire::send(*link->second->connection, wire::cancel{which.id, which.log.attempt});
    }
}

void log_end(request const& which, base::result_code code, std::string_view message)
{
    base::log_line(code == base::result_code::ok ? base::log_level::debug : base::log_level::info,
                   "request_ended",
                   {{"request_id", std::string_view(base::to_string(which.id))},
                    {"team", std::string_view(which.caller.team)},
                    {"route", std::string_view(which.caller.route)},
                    {"upstream", std::string_view(which.upstream)},
                    {"attempts", static_cast<std::int64_t>(which.log.attempt)},
                    {"code", code},
                    {"message", message}});
}

void remove_request(entry_process& entry, request& which)
{
    leave_upstream(entry, which);
    (void)admission::remove(entry.queue, which.id);
    entry.requests.erase(base::request_id(which.id));
    stop_if_idle(entry);
}

void fail(entry_process& entry, request& which, base::error const& why, bool not_run)
{
    // A code that says "not run" is used only when the log proves it.
    auto const code =
        base::info(why.code).not_run && !not_run ? base::result_code::outcome_unknown : why.code;
    auto const message = why.message.empty() ? std::string(base::info(code).meaning) : why.message;
    log_end(which, code, message);
    count_end(entry, which, code);
    std::optional<base::mono_time> retry_at;
    constexpr std::uint16_t too_many_requests = 429;
    constexpr std::uint16_t service_unavailable = 503;
    auto const status = base::info(code).http_status;
    if (status == too_many_requests || status == service_unavailable)
    {
        retry_at = base::mono_now() + std::chrono::seconds(1);
    }
    pass_error(which, {code, message}, retry_at);
    remove_request(entry, which);
}

void complete(entry_process& entry, request& which)
{
    log_end(which, base::result_code::ok, "");
    count_end(entry, which, base::result_code::ok);
    admission::correct(entry.queue, which.caller.team, which.caller.cost,
                       which.end.prompt_tokens + which.end.total_tokens);
    pass_end(which);
    remove_request(entry, which);
}

void retry_later(entry_process& entry, request& which, base::mono_time at)
{
    leave_upstream(entry, which);
    which.agent_host.clear();
    which.timer = base::at(at,
                           [&entry, id = which.id]
                           {
                               if (auto* const again = find_request(entry, id))
                               {
                                   enqueue(entry, *again);
                               }
                           });
}

wire::start make_start(entry_process& entry, request const& of, base::mono_time now)
{
    wire::start out;
    out.id = of.id;
    out.attempt = of.log.attempt;
    out.upstream = of.upstream;
    out.team = of.caller.team;
    out.route = of.caller.route;
    out.path = of.caller.path;
    out.method = of.caller.method;
    out.content_type = of.caller.content_type;
    out.idempotent = of.caller.idempotent;
    out.stream = of.caller.stream;
    out.deadline = wire::to_wall(of.log.deadline);
    out.cost = of.caller.cost;
    out.body = of.caller.body;
    out.resume_tokens = of.log.passed_tokens;
    out.resume_text = of.caller.stream ? text_of(of.passed) : of.passed;
    out.fingerprint = of.caller.fingerprint;
    out.crash_ids = routing::crash_ids(entry.suspects, of.caller.fingerprint, now);
    out.key_hash = of.caller.key_hash;
    return out;
}

bool is_suspect(entry_process const& entry, request const& which, base::mono_time now)
{
    return routing::judge(entry.suspects, which.caller.fingerprint, now) ==
           routing::verdict::suspect;
}

std::optional<routing::choice> choose_for(entry_process& entry, request const& which,
                                          base::mono_time now)
{
    routing::choice_request wanted;
    wanted.route = which.caller.route;
    wanted.prefix = routing::prefix_hash(which.caller.prompt_prefix);
    wanted.tried = which.log.tried;
    wanted.suspect = is_suspect(entry, which, now);
    return routing::choose(entry.upstreams, wanted, now, entry.random);
}

void send_attempt(entry_process& entry, request& which, routing::choice const& chosen,
                  base::mono_time now)
{
    auto const* const state = routing::find_upstream(entry.upstreams, chosen.upstream);
    auto const& agent = entry.upstreams.agents[state->agent];
    auto const& link = entry.agents.find(agent.host)->second;
    which.upstream = state->name;
    which.agent_host = agent.host;
    which.agent_incarnation = agent.incarnation;
    std::optional<base::mono_time> suspect_until;
    if (is_suspect(entry, which, now))
    {
        suspect_until = which.log.deadline;
    }
    which.ticket = routing::begin_attempt(entry.upstreams, chosen.upstream, suspect_until);
    (void)routing::on_sent(which.log, chosen.upstream);
    link->requests.insert(which.id);
    set_timer(entry, which);
    auto const sent = wire::send(*link->connection, make_start(entry, which, now));
    if (!sent && sent.error().code == base::result_code::frame_too_large)
    {
        carry_out(entry, which,
                  routing::on_refused(which.log, which.log.attempt,
                                      base::result_code::request_too_large, true, now, now,
                                      retry_means_of(entry)));
    }
}

void dispatch(entry_process& entry)
{
    auto const now = base::mono_now();
    // Lanes for which no upstream was found in this run; the others go on.
    std::vector<std::string> exhausted;
    while (true)
    {
        std::vector<std::pair<base::request_id, routing::choice>> offered;
        auto const eligible = [&](queued_request const& item)
        {
            if (std::find(exhausted.begin(), exhausted.end(), item.lane) != exhausted.end())
            {
                return false;
            }
            auto const chosen = choose_for(entry, *item.of, now);
            if (!chosen)
            {
                exhausted.push_back(item.lane);
                return false;
            }
            offered.emplace_back(item.of->id, *chosen);
            return true;
        };
        auto const item = admission::pick(entry.queue, now, eligible);
        if (!item)
        {
            return;
        }
        // Several lanes of a team may have been asked, so the last choice need not be the item's.
        auto const choice =
            std::find_if(offered.begin(), offered.end(),
                         [&](auto const& offer) { return offer.first == item->of->id; });
        send_attempt(entry, *find_request(entry, item->of->id), choice->second, now);
    }
}

// Expected time of a request at an upstream of its route, by the load reports of a few candidates;
// a route may have thousands.
base::duration expected_latency(entry_process& entry, caller_request const& caller)
{
    auto const* route = routing::find_route(entry.upstreams, caller.route);
    if (route == nullptr || route->ring.empty())
    {
        return {};
    }
    constexpr int samples = 4;
    std::uniform_int_distribution<std::size_t> any(0, route->ring.size() - 1);
    std::int64_t sum_us = 0;
    for (int i = 0; i < samples; ++i)
    {
        sum_us += entry.upstreams.upstreams[route->ring[any(entry.random)].upstream].latency_us;
    }
    return base::duration(sum_us / samples * caller.cost);
}

} // namespace

request* find_request(entry_process& entry, base::request_id const& id)
{
    auto const at = entry.requests.find(id);
    return at != entry.requests.end() ? &at->second : nullptr;
}

routing::retry_means retry_means_of(entry_process& entry)
{
    return {entry.retries, entry.random};
}

void fail_unplaced(entry_process& entry, request& which, base::error const& why)
{
    auto const decided = routing::on_unplaced(which.log, why.code);
    fail(entry, which, {decided.code, why.message}, decided.not_run);
}

void enqueue(entry_process& entry, request& which)
{
    auto const now = base::mono_now();
    if (routing::judge(entry.suspects, which.caller.fingerprint, now) == routing::verdict::refused)
    {
        fail_unplaced(entry, which,
                      {base::result_code::crash_suspect, "equal requests crashed two upstreams"});
        return;
    }
    auto lane = which.caller.route;
    if (is_suspect(entry, which, now))
    {
        lane += " suspect";
    }
    which.latest_handover =
        admission::latest_handover(which.log.deadline, now, expected_latency(entry, which.caller));
    if (now + admission::expected_wait(entry.queue, which.caller.team) > which.latest_handover)
    {
        fail_unplaced(entry, which,
                      {base::result_code::overloaded, "the wait would outlast the deadline"});
        return;
    }
    auto const rejected = admission::push(entry.queue, queued_request{&which, std::move(lane)});
    if (rejected)
    {
        fail_unplaced(entry, which, {rejected->code, ""});
        return;
    }
    set_timer(entry, which);
    dispatch_soon(entry);
}

void dispatch_soon(entry_process& entry)
{
    if (!entry.dispatch)
    {
        entry.dispatch = base::soon(
            [&entry]
            {
                entry.dispatch.reset();
                dispatch(entry);
            });
        g_source_set_priority(entry.dispatch.get(), G_PRIORITY_DEFAULT);
    }
}

void send_fence(entry_process& entry, request& which)
{
    auto const at = entry.agents.find(which.agent_host);
    if (at == entry.agents.end() || !is_up(*at->second))
    {
        return;
    }
    which.fence_pending = false;
    if (at->second->connection->peer->incarnation != which.agent_incarnation)
    {
        carry_out(entry, which,
                  routing::on_fenced(which.log, which.log.attempt, true, base::mono_now(),
                                     retry_means_of(entry)));
        return;
    }
    (void)wire::send(*at->second->connection, wire::fence{which.id, which.log.attempt});
}

void carry_out(entry_process& entry, request& which, routing::decision const& what)
{
    if (what.cancel_attempt)
    {
        send_cancel(entry, which);
    }
    switch (what.kind)
    {
    case decision_kind::ignore:
    case decision_kind::pass_on:
        break;
    case decision_kind::retry:
        retry_later(entry, which, what.at);
        break;
    case decision_kind::fence:
        which.fence_pending = true;
        set_timer(entry, which);
        send_fence(entry, which);
        break;
    case decision_kind::fail:
        fail(entry, which, {what.code, which.refusal_message}, what.not_run);
        break;
    case decision_kind::complete:
        complete(entry, which);
        break;
    }
}

} // namespace gooseberrywood::entry
