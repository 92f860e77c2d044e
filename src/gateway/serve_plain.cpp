#include "gateway/serve_plain.hpp"

#include "base/log.hpp"
#include "fleet/choose_upstream.hpp"
#include "gateway/answer_caller.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/measure.hpp"
#include "gateway/refresh.hpp"
#include "gateway/route_request.hpp"
#include "gateway/stream_origins.hpp"
#include "http/status.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;

// A full service has a free slot again after a few requests.
constexpr base::duration retry_after_full = std::chrono::milliseconds(100);

// Divisor of the target latency. A request that finds no free upstream within this part of it is
// refused, so that the caller can still be served in time elsewhere.
constexpr int dispatch_deadline_divisor = 5;
// Divisor of the target latency. A second upstream is tried after this part of it.
constexpr int hedge_delay_divisor = 2;

// The store, or an upstream of the version that began a stream, may be back by then.
constexpr base::duration retry_after_not_resumable = std::chrono::milliseconds(500);

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

void record_outcome(gateway& self, plain_request const& request, routed_outcome const& outcome)
{
    auto const duration = base::mono_now() - request.arrived_at;
    auto const name = outcome_name(outcome);
    count_answer(self, request.route.name, name, duration);
    base::log_line(base::log_level::info, "request_ended",
                   {{"request", request.head.request_id},
                    {"route", request.route.name},
                    {"outcome", name},
                    {"upstream", outcome.upstream},
                    {"status", std::int64_t{outcome.answer.status}},
                    {"tries", std::int64_t{outcome.tries}},
                    {"took_us", duration.count()}});
}

/// An outcome that is kept, with the bytes that it counts, until the caller has its body.
using kept_outcome = std::shared_ptr<routed_outcome const>;

void send_outcome(gateway& self, http::exchange& exchange, kept_outcome const& kept)
{
    auto const& outcome = *kept;
    switch (outcome.kind)
    {
    case outcome_kind::answered:
    {
        auto const headers = platform::forwardable_headers(outcome.answer.headers);
        auto const type = http::find_header(headers, "Content-Type");
        http::respond(exchange, outcome.answer.status, type.value_or("application/octet-stream"),
                      kept, outcome.answer.body, headers, outcome.answer.share);
        break;
    }
    case outcome_kind::refused:
        refuse(self, exchange, outcome.error,
               outcome.refused_until ? *outcome.refused_until - base::mono_now()
                                     : retry_after_full);
        break;
    case outcome_kind::unknown:
        answer_error(self, exchange,
                     outcome.error.code == result_code::deadline_passed ? http::status::timeout
                                                                        : http::status::bad_gateway,
                     outcome.error);
        break;
    }
}

routed_spec make_spec(plain_request const& request)
{
    auto const& [exchange, head, route, team, now] = request;
    routed_spec spec;
    spec.service = fleet::service_for_request(route, head.request_id);
    spec.host = head.host;
    spec.team = team;
    spec.request_id = head.request_id;
    spec.idempotent = route.kind == fleet::route_kind::idempotent;
    spec.may_crash_upstreams = true;
    spec.max_runs = route.attempts;
    spec.deadline = std::min(now + route.timeout, head.deadline.value_or(base::mono_time::max()));
    spec.dispatch_deadline =
        std::min(spec.deadline, now + route.target_latency / dispatch_deadline_divisor);
    spec.hedge_delay = route.target_latency / hedge_delay_divisor;
    spec.call = {head.method,
                 head.target,
                 head.content_type,
                 exchange->body_bytes,
                 head.forwarded_headers,
                 spec.idempotent};
    return spec;
}

void count_usage(gateway& self, plain_request const& request,
                 std::optional<base::wall_time> const& started_at)
{
    if (started_at && !request.team.empty())
    {
        duty::count_request(self.usage, request.team, *started_at);
    }
}

/// Whether the outcome begins a stream that the caller may take up again.
bool begins_stream(plain_request const& request, routed_outcome const& outcome)
{
    return request.route.kind == fleet::route_kind::streaming && !request.head.takes_up_stream &&
           outcome.kind == outcome_kind::answered && outcome.is_origin_certain &&
           http::status::is_success(outcome.answer.status);
}

void on_outcome(gateway& self, plain_request const& request, kept_outcome const& outcome)
{
    record_outcome(self, request, *outcome);
    count_usage(self, request, outcome->started_at);
    if (!begins_stream(request, *outcome))
    {
        send_outcome(self, *request.exchange, outcome);
        return;
    }
    save_stream_origin(self, request.head.request_id, outcome->origin,
                       [&self, request, outcome]
                       {
                           if (!request.exchange->disconnected)
                           {
                               send_outcome(self, *request.exchange, outcome);
                           }
                       });
}

/// Refuses a request if upstreams have ended under equal ones.
/// \returns whether it was refused.
bool refuse_if_crashing(gateway& self, plain_request const& request, routed_spec& spec)
{
    auto const now = base::mono_now();
    auto const until = refused_until(self, spec, now);
    if (until)
    {
        refuse(self, *request.exchange, refuse_crashing_request(self, spec), *until - now);
    }
    return until.has_value();
}

void start(gateway& self, plain_request const& request, routed_spec spec)
{
    if (refuse_if_crashing(self, request, spec))
    {
        return;
    }
    auto const number = start_request(self, std::move(spec),
                                      [&self, request](routed_outcome outcome)
                                      {
                                          auto const kept = std::make_shared<routed_outcome const>(
                                              std::move(outcome));
                                          on_outcome(self, request, kept);
                                      });
    // The request holds the exchange, so the handler must not hold the request.
    request.exchange->on_disconnected =
        [&self, number, team = request.team, id = request.head.request_id]
    {
        base::log_line(base::log_level::info, "caller_gone", {{"request", id}});
        auto const started_at = cancel_request(self, number);
        if (started_at && !team.empty())
        {
            duty::count_request(self.usage, team, *started_at);
        }
    };
}

void refuse_take_up(gateway& self, plain_request const& request, std::string reason)
{
    refuse(self, *request.exchange, {result_code::stream_not_resumable, std::move(reason)},
           retry_after_not_resumable);
}

void continue_stream(gateway& self, plain_request const& request,
                     base::result<std::optional<rollout::text_origin>> const& origin)
{
    if (!origin)
    {
        refuse_take_up(self, request,
                       "the store does not tell what began the stream: " + origin.error().message);
        return;
    }
    if (!*origin)
    {
        refuse_take_up(self, request, "no gateway knows what began the stream");
        return;
    }
    if (!has_current_upstreams(self, base::mono_now()))
    {
        refuse_take_up(self, request, "the known list of upstreams is too old");
        return;
    }
    auto const& began_by = **origin;
    bool const is_routed =
        std::any_of(request.route.services.begin(), request.route.services.end(),
                    [&](auto const& share) { return share.service == began_by.service; });
    if (!is_routed ||
        !fleet::has_software_version(self.pool, began_by.service, began_by.software_version))
    {
        refuse_take_up(self, request, "no upstream of the software version that began it serves");
        return;
    }
    auto spec = make_spec(request);
    spec.service = began_by.service;
    spec.software_version = began_by.software_version;
    start(self, request, std::move(spec));
}

void take_up_stream(gateway& self, plain_request const& request)
{
    if (request.head.resumed_attempt.empty())
    {
        refuse_take_up(self, request,
                       "the request does not name the attempt that began the stream");
        return;
    }
    auto const deadline = std::min(request.arrived_at + request.route.timeout,
                                   request.head.deadline.value_or(base::mono_time::max()));
    find_stream_origin(self, request.head.resumed_attempt, deadline,
                       [&self, request](auto const& origin)
                       {
                           // A stop may have answered the caller, and released the body.
                           if (!request.exchange->answered &&
                               !http::is_caller_disconnected(*request.exchange))
                           {
                               continue_stream(self, request, origin);
                           }
                       });
}

} // namespace

void serve_plain(gateway& self, plain_request const& request)
{
    if (request.route.kind == fleet::route_kind::streaming && request.head.takes_up_stream)
    {
        take_up_stream(self, request);
        return;
    }
    start(self, request, make_spec(request));
}

} // namespace gooseberrywood::gateway
