#include "entry/requests.hpp"

#include "admission/latest_dispatch.hpp"
#include "base/log.hpp"
#include "entry/answers.hpp"
#include "entry/dispatch.hpp"
#include "entry/measure.hpp"

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
        (void)routing::check_claim_deadline(*which->claim, base::mono_now());
    }
    if (is_waiting(*which) && !has_upstreams(entry, *which))
    {
        fail_unplaced(entry, *which,
                      {base::result_code::no_upstream, "no upstream of the route accepts work"});
        return;
    }
    if (is_waiting(*which) && base::mono_now() >= which->latest_dispatch)
    {
        fail_unplaced(entry, *which, {base::result_code::deadline_passed, ""});
        return;
    }
    carry_out(entry, *which, routing::on_timer(which->log, base::mono_now()));
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

void set_timer(entry_process& entry, request& which)
{
    auto wake_at = routing::next_timeout(which.log);
    if (is_waiting(which))
    {
        wake_at = std::min(wake_at, which.latest_dispatch);
    }
    if (is_waiting(which) && !has_upstreams(entry, which))
    {
        wake_at = std::min(wake_at, base::mono_now() + no_upstream_patience);
    }
    which.timer = base::at(wake_at, [&entry, id = which.id] { on_timer(entry, id); });
}

routing::retry_context retry_means_of(entry_process& entry)
{
    return {entry.retries, entry.random};
}

void fail_unplaced(entry_process& entry, request& which, base::error const& why)
{
    auto const decided = routing::on_placement_failed(which.log, why.code);
    fail(entry, which, {decided.code, why.message}, decided.not_run);
}

void enqueue(entry_process& entry, request& which)
{
    auto const now = base::mono_now();
    if (routing::classify(entry.suspects, which.caller.fingerprint, now) ==
        routing::suspect_class::refused)
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
    which.latest_dispatch =
        admission::latest_dispatch(which.log.deadline, now, expected_latency(entry, which.caller));
    if (now + admission::expected_wait(entry.queue, which.caller.team) > which.latest_dispatch)
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
    case decision_kind::forward:
        break;
    case decision_kind::retry:
        retry_later(entry, which, what.due_at);
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
