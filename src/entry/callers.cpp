#include "entry/callers.hpp"

#include "entry/agents.hpp"
#include "entry/configuration.hpp"
#include "entry/measure.hpp"
#include "entry/requests.hpp"
#include "http/error_response.hpp"

namespace gooseberrywood::entry
{

namespace
{

void cancel(entry_process& entry, base::request_id const& id)
{
    if (auto* const which = find_request(entry, id))
    {
        which->refusal_message = "the caller went away";
        carry_out(entry, *which, routing::on_canceled(which->log));
    }
}

base::request_id make_id(caller_request const& caller)
{
    // Only a request that may not run twice needs to meet its earlier copies.
    bool const is_derived = !caller.idempotent && !caller.idempotency_key.empty();
    return is_derived ? base::derived_request_id(caller.team, caller.idempotency_key)
                      : base::random_request_id();
}

void begin_request(entry_process& entry, std::shared_ptr<http::exchange> const& exchange,
                   caller_request caller)
{
    auto const id = make_id(caller);
    auto const [at, is_new] = entry.requests.try_emplace(id);
    if (!is_new)
    {
        http::respond_error(*exchange, {base::result_code::outcome_unknown,
                                        "a request with this Idempotency-Key is in progress"});
        return;
    }
    auto& made = at->second;
    auto const timeout = bundle::find_route(entry.configuration.bundle, caller.route)->timeout;
    made.id = id;
    made.caller = std::move(caller);
    made.exchange = exchange;
    made.arrived_at = base::mono_now();
    made.log =
        routing::start_log(made.caller.idempotent, made.caller.kind == bundle::route_kind::model,
                           base::mono_now() + timeout);
    exchange->on_disconnected = [&entry, id]
    {
        cancel(entry, id);
    };
    routing::record_request(entry.retries);
    if (!made.caller.idempotent && !made.caller.idempotency_key.empty())
    {
        begin_claim(entry, made);
    }
    else
    {
        enqueue(entry, made);
    }
}

} // namespace

void handle_caller(entry_process& entry, std::shared_ptr<http::exchange> const& exchange)
{
    if (exchange->path == "/healthz" || exchange->path == "/readyz")
    {
        bool const ok = is_ready(entry) || exchange->path == "/healthz";
        http::respond(*exchange, ok ? 200 : 503, "text/plain", ok ? "ok\n" : "not ready\n");
        return;
    }
    if (entry.stopping)
    {
        http::respond_error(*exchange, {base::result_code::shutting_down, "this entry is stopping"},
                            base::mono_now());
        return;
    }
    if (process::version(entry.configuration) == 0)
    {
        http::respond_error(
            *exchange,
            {base::result_code::configuration_stale, "this entry has no configuration yet"},
            base::mono_now());
        return;
    }
    auto parsed = parse({exchange->method, exchange->path, exchange->query,
                         http::request_header(*exchange, "Content-Type").value_or(""),
                         exchange->body, http::request_header(*exchange, "Authorization"),
                         http::request_header(*exchange, "Idempotency-Key")},
                        entry.configuration.bundle);
    if (!parsed)
    {
        count_refused(entry, parsed.error().code);
        http::respond_error(*exchange, parsed.error());
        return;
    }
    if (auto const serving = check_serving(entry, *parsed); !serving)
    {
        count_refused(entry, serving.error().code);
        http::respond_error(*exchange, serving.error(), base::mono_now());
        return;
    }
    begin_request(entry, exchange, std::move(*parsed));
}

bool is_ready(entry_process const& entry)
{
    return !entry.stopping && process::version(entry.configuration) > 0 &&
           entry.serving != config::serving_state::stopped;
}

void check_callers(entry_process& entry)
{
    std::vector<base::request_id> gone;
    for (auto const& [id, which] : entry.requests)
    {
        if (http::is_caller_disconnected(*which.exchange))
        {
            gone.push_back(id);
        }
    }
    for (auto const& id : gone)
    {
        cancel(entry, id);
    }
}

} // namespace gooseberrywood::entry
