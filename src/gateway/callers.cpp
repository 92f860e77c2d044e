#include "gateway/callers.hpp"

#include "base/log.hpp"
#include "gateway/answer_caller.hpp"
#include "gateway/end_job.hpp"
#include "gateway/measure.hpp"
#include "gateway/read_job.hpp"
#include "gateway/refresh.hpp"
#include "gateway/route_request.hpp"
#include "gateway/submit_job.hpp"
#include "http/status.hpp"
#include "platform/batch_calls.hpp"
#include "platform/caller_head.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;

// Another gateway may have a fresher configuration, or this one will have by then.
constexpr base::duration come_back_stale = std::chrono::milliseconds(200);
// A full service has a place again after a few requests.
constexpr base::duration come_back_full = std::chrono::milliseconds(100);

// Part of the target latency after which a full service is refused, so that the caller can still be
// served in time elsewhere.
constexpr int patience_part = 5;
// Part of the target latency after which a second upstream is tried.
constexpr int hedge_part = 2;

/// Refuses a request that the configuration does not allow. While a newer one may allow it, the
/// refusal says so.
void deny(gateway& self, http::exchange& to, std::uint16_t status, base::error const& why,
          base::mono_time now)
{
    if (!knows_configuration(self, now))
    {
        refuse(self, to, {result_code::configuration_stale, "a newer configuration may allow it"},
               come_back_stale);
        return;
    }
    answer_error(self, to, status, why);
}

/// \returns the team, empty on an open route; nothing after the request was answered.
std::optional<std::string> authorize(gateway& self, http::exchange& to,
                                     platform::caller_head const& head, fleet::route const* route,
                                     base::mono_time now)
{
    auto const& configuration = *self.configuration;
    if (!configuration.teams || (route != nullptr && route->open))
    {
        return std::string();
    }
    if (!may_trust_keys(self, now))
    {
        refuse(self, to, {result_code::configuration_stale, "keys can't be checked at the moment"},
               come_back_stale);
        return std::nullopt;
    }
    auto const* const team =
        head.api_key ? fleet::find_team(configuration, *head.api_key) : nullptr;
    if (team == nullptr)
    {
        deny(self, to, http::status::unauthorized,
             {head.api_key ? result_code::key_unknown : result_code::key_missing,
              "the request carries no key that is known"},
             now);
        return std::nullopt;
    }
    return *team;
}

std::string_view outcome_name(routed_outcome const& outcome)
{
    switch (outcome.kind)
    {
    case outcome_kind::answered:
        return http::status::is_server_error(outcome.answer.status) ? "failed" : "answered";
    case outcome_kind::refused:
        return "refused";
    case outcome_kind::unknown:
        break;
    }
    return "unknown";
}

void note_end(gateway& self, platform::caller_head const& head, fleet::route const& route,
              routed_outcome const& outcome, base::mono_time arrived_at)
{
    auto const took = base::mono_now() - arrived_at;
    auto const name = outcome_name(outcome);
    count_answer(self, route.name, name, took);
    base::log_line(base::log_level::info, "request_ended",
                   {{"request", head.request_id},
                    {"route", route.name},
                    {"outcome", name},
                    {"upstream", outcome.upstream},
                    {"status", std::int64_t{outcome.answer.status}},
                    {"tries", std::int64_t{outcome.tries}},
                    {"took_us", took.count()}});
}

void deliver(gateway& self, http::exchange& to, routed_outcome const& outcome)
{
    switch (outcome.kind)
    {
    case outcome_kind::answered:
    {
        auto const headers = platform::forwardable_headers(outcome.answer.headers);
        auto const type = http::find_header(headers, "Content-Type");
        http::respond(to, outcome.answer.status, type.value_or("application/octet-stream"),
                      outcome.answer.body, headers);
        break;
    }
    case outcome_kind::refused:
        refuse(self, to, outcome.error, come_back_full);
        break;
    case outcome_kind::unknown:
        answer_error(self, to,
                     outcome.error.code == result_code::deadline_passed ? http::status::timeout
                                                                        : http::status::bad_gateway,
                     outcome.error);
        break;
    }
}

routed_spec plain_spec(http::exchange const& from, platform::caller_head const& head,
                       fleet::route const& route, std::string team, base::mono_time now)
{
    routed_spec spec;
    spec.service = fleet::service_for_request(route, head.request_id);
    spec.host = head.host;
    spec.team = std::move(team);
    spec.request_id = head.request_id;
    spec.idempotent = route.kind == fleet::route_kind::idempotent;
    spec.max_runs = route.attempts;
    spec.deadline = std::min(now + route.timeout, head.deadline.value_or(base::mono_time::max()));
    spec.dispatch_deadline = std::min(spec.deadline, now + route.target_latency / patience_part);
    spec.hedge_delay = route.target_latency / hedge_part;
    spec.call = {head.method,
                 head.target,
                 head.content_type,
                 std::string(from.body),
                 head.forwarded_headers,
                 spec.idempotent};
    return spec;
}

void serve_plain(gateway& self, std::shared_ptr<http::exchange> const& from,
                 platform::caller_head const& head, fleet::route const& route,
                 std::string const& team, base::mono_time now)
{
    auto spec = plain_spec(*from, head, route, team, now);
    auto const number =
        start_request(self, std::move(spec),
                      [&self, from, head, route, team, now](routed_outcome const& outcome)
                      {
                          note_end(self, head, route, outcome, now);
                          if (outcome.began && !team.empty())
                          {
                              duty::count_request(self.usage, team, *outcome.began);
                          }
                          deliver(self, *from, outcome);
                      });
    from->on_disconnected = [&self, number, team, id = head.request_id]
    {
        base::log_line(base::log_level::info, "caller_gone", {{"request", id}});
        auto const began = cancel_request(self, number);
        if (began && !team.empty())
        {
            duty::count_request(self.usage, team, *began);
        }
    };
    self.open_exchanges.push_back(from);
}

void serve_request(gateway& self, std::shared_ptr<http::exchange> const& from,
                   platform::caller_head const& head, base::mono_time now)
{
    auto const* const route = fleet::find_route(*self.configuration, head.host, from->path);
    if (route == nullptr)
    {
        deny(self, *from, http::status::not_found,
             {result_code::unknown_route, "no route for this host and path"}, now);
        return;
    }
    auto const team = authorize(self, *from, head, route, now);
    if (!team)
    {
        return;
    }
    if (route->kind == fleet::route_kind::rollout)
    {
        submit_job(self, from, head, *route, *team);
        return;
    }
    serve_plain(self, from, head, *route, *team, now);
}

void handle_batch_call(gateway& self, std::shared_ptr<http::exchange> const& from,
                       platform::batch_call const& call, std::string const& team)
{
    switch (call.operation)
    {
    case platform::batch_operation::read_results:
        read_results(self, from, call, team);
        break;
    case platform::batch_operation::read_body:
        read_body(self, from, call, team);
        break;
    case platform::batch_operation::end:
        end_job(self, from, call, team);
        break;
    }
}

} // namespace

void handle_caller(gateway& self, std::shared_ptr<http::exchange> const& from)
{
    auto const now = base::mono_now();
    if (!self.configuration)
    {
        refuse(self, *from, {result_code::configuration_stale, "there is no configuration yet"},
               come_back_stale);
        return;
    }
    auto const head = platform::read_caller_head(*from, now);
    auto const call = platform::decode_batch_call(head.method, head.target);
    if (!call)
    {
        serve_request(self, from, head, now);
        return;
    }
    if (auto const team = authorize(self, *from, head, nullptr, now))
    {
        handle_batch_call(self, from, *call, *team);
    }
}

void check_callers(gateway& self)
{
    // Moved out: a handler may add to the list.
    auto const open = std::move(self.open_exchanges);
    self.open_exchanges.clear();
    for (auto const& weak : open)
    {
        auto const one = weak.lock();
        if (!one || one->answered || one->disconnected)
        {
            continue;
        }
        if (!http::is_caller_disconnected(*one))
        {
            self.open_exchanges.push_back(weak);
            continue;
        }
        one->disconnected = true;
        if (auto const act = std::exchange(one->on_disconnected, nullptr))
        {
            act();
        }
    }
}

} // namespace gooseberrywood::gateway
