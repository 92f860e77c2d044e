#include "entry/entry_process.hpp"

#include "base/log.hpp"
#include "entry/completion_answer.hpp"
#include "http/error_answer.hpp"
#include "http/limits.hpp"
#include "process/admin.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sodium.h>

#include <utility>

namespace gooseberrywood::entry
{

namespace
{

using base::result_code;

void stop_if_idle(entry_process& entry)
{
    if (entry.stopping && entry.requests.empty())
    {
        process::stop(entry.loop);
    }
}

void end_request(entry_process& entry, base::request_id const& id)
{
    entry.requests.erase(id);
    stop_if_idle(entry);
}

void fail_request(entry_process& entry, request& which, base::error const& why)
{
    base::log_line(base::log_level::info, "request_failed",
                   {{"request_id", std::string_view(base::to_string(which.id))},
                    {"team", std::string_view(which.caller.team)},
                    {"upstream", std::string_view(which.upstream)},
                    {"code", why.code},
                    {"message", std::string_view(why.message)}});
    if (which.exchange->streaming)
    {
        http::append_stream(*which.exchange, stream_error(why));
        http::end_stream(*which.exchange);
    }
    else
    {
        http::respond_error(*which.exchange, why);
    }
    end_request(entry, which.id);
}

request* find_attempt(entry_process& entry, base::request_id const& id, std::uint32_t attempt)
{
    auto const at = entry.requests.find(id);
    // An answer of an earlier attempt is late; it must not mix with the current one's.
    return at != entry.requests.end() && at->second.attempt == attempt ? &at->second : nullptr;
}

wire::start make_start(request const& of)
{
    wire::start out;
    out.id = of.id;
    out.attempt = of.attempt;
    out.upstream = of.upstream;
    out.team = of.caller.team;
    out.route = of.caller.route;
    out.path = of.caller.path;
    out.method = of.caller.method;
    out.content_type = of.caller.content_type;
    out.idempotent = of.caller.idempotent;
    out.stream = of.caller.stream;
    out.deadline = wire::to_wall(of.deadline);
    out.cost = of.caller.cost;
    out.body = of.caller.body;
    out.resume_tokens = of.next_token;
    out.resume_text = of.next_token > 0 ? text_of(of.events) : std::string{};
    out.fingerprint = of.caller.fingerprint;
    out.key_hash = of.caller.key_hash;
    return out;
}

bool send_to_some_upstream(entry_process& entry, request& which)
{
    for (std::size_t i = 0; i < entry.agents.size(); ++i)
    {
        auto const& link = entry.agents[entry.next_agent++ % entry.agents.size()];
        if (!is_up(*link))
        {
            continue;
        }
        for (auto const& u : link->connection->peer->upstreams)
        {
            if (u.route == which.caller.route)
            {
                which.agent_host = link->host;
                which.upstream = u.name;
                ++which.attempt;
                return wire::send(*link->connection, make_start(which)).has_value();
            }
        }
    }
    return false;
}

void handle(entry_process& entry, wire::chunk& message)
{
    auto* const which = find_attempt(entry, message.id, message.attempt);
    if (which == nullptr || message.first_token != which->next_token)
    {
        return;
    }
    which->next_token += message.tokens;
    which->events += message.bytes;
    if (!which->caller.stream)
    {
        return;
    }
    if (!which->exchange->streaming)
    {
        http::begin_stream(*which->exchange, 200, "text/event-stream");
    }
    if (!http::append_stream(*which->exchange, message.bytes))
    {
        fail_request(entry, *which, {result_code::canceled, "the caller reads too slowly"});
    }
}

void answer_engine(entry_process& entry, request& which, wire::finished const& message)
{
    if (message.total_tokens != which.next_token)
    {
        fail_request(
            entry, which,
            {result_code::stream_incomplete,
             fmt::format("{} of {} tokens arrived", which.next_token, message.total_tokens)});
        return;
    }
    auto const& caller = which.caller;
    if (!caller.stream)
    {
        http::respond(*which.exchange, 200, "application/json",
                      whole_completion(which.id, caller.route, caller.chat, which.events, message));
    }
    else
    {
        if (!which.exchange->streaming)
        {
            http::begin_stream(*which.exchange, 200, "text/event-stream");
        }
        http::append_stream(*which.exchange,
                            stream_end(which.id, caller.route, caller.chat, message));
        http::end_stream(*which.exchange);
    }
    end_request(entry, which.id);
}

void handle(entry_process& entry, wire::finished& message)
{
    auto* const which = find_attempt(entry, message.id, message.attempt);
    if (which == nullptr)
    {
        return;
    }
    if (which->caller.kind == bundle::route_kind::model && message.status == 200)
    {
        answer_engine(entry, *which, message);
        return;
    }
    http::respond(*which->exchange, message.status, message.content_type, message.body);
    end_request(entry, which->id);
}

void handle(entry_process& entry, wire::refuse& message)
{
    auto* const which = find_attempt(entry, message.id, message.attempt);
    if (which == nullptr)
    {
        return;
    }
    auto const code = message.not_run || !base::info(message.code).not_run
                          ? message.code
                          : result_code::outcome_unknown;
    fail_request(entry, *which, {code, message.message});
}

template <class Other>
void handle(entry_process&, Other const&)
{
    // Other messages concern nothing that this process does yet.
}

void handle_lost(entry_process& entry, std::string const& host)
{
    std::vector<base::request_id> lost;
    for (auto const& [id, which] : entry.requests)
    {
        if (which.agent_host == host)
        {
            lost.push_back(id);
        }
    }
    for (auto const& id : lost)
    {
        fail_request(entry, entry.requests.at(id),
                     {result_code::outcome_unknown, "the connection to the agent broke"});
    }
}

void cancel_request(entry_process& entry, base::request_id const& id)
{
    auto const at = entry.requests.find(id);
    if (at == entry.requests.end())
    {
        return;
    }
    for (auto const& link : entry.agents)
    {
        if (link->host == at->second.agent_host && is_up(*link))
        {
            (void)wire::send(*link->connection, wire::cancel{id, at->second.attempt});
        }
    }
    end_request(entry, id);
}

void handle_caller(entry_process& entry, std::shared_ptr<http::exchange> const& exchange)
{
    if (entry.stopping)
    {
        http::respond_error(*exchange,
                            {result_code::shutting_down, "this entry is stopping; try another"});
        return;
    }
    auto parsed = parse({exchange->method, exchange->path, exchange->query,
                         http::request_header(*exchange, "Content-Type").value_or(""),
                         exchange->body, http::request_header(*exchange, "Authorization"),
                         http::request_header(*exchange, "Idempotency-Key")},
                        entry.bundle);
    if (!parsed)
    {
        http::respond_error(*exchange, parsed.error());
        return;
    }
    auto const id = base::random_request_id();
    auto& made = entry.requests[id];
    made.id = id;
    made.caller = std::move(*parsed);
    made.exchange = exchange;
    made.deadline = base::mono_now() + bundle::find_route(entry.bundle, made.caller.route)->timeout;
    exchange->on_gone = [&entry, id]
    {
        cancel_request(entry, id);
    };
    if (!send_to_some_upstream(entry, made))
    {
        fail_request(entry, made, {result_code::no_upstream, "no upstream of the route is up"});
    }
}

void check_callers(entry_process& entry)
{
    std::vector<base::request_id> gone;
    for (auto const& [id, which] : entry.requests)
    {
        if (http::is_caller_gone(*which.exchange))
        {
            gone.push_back(id);
        }
    }
    for (auto const& id : gone)
    {
        cancel_request(entry, id);
    }
}

nlohmann::ordered_json dump(entry_process const& entry)
{
    nlohmann::ordered_json out;
    out["role"] = "entry";
    out["host"] = entry.settings.host;
    out["domain"] = entry.settings.domain;
    out["incarnation"] = entry.own.incarnation;
    out["config_version"] = entry.bundle.version;
    out["stopping"] = entry.stopping;
    out["requests"] = entry.requests.size();
    for (auto const& link : entry.agents)
    {
        out["agents"][link->host] = {{"address", link->address}, {"up", is_up(*link)}};
    }
    return out;
}

void connect_agents(entry_process& entry)
{
    for (auto const& a : entry.settings.agents)
    {
        link_handlers handlers;
        handlers.config_version = [&entry]
        {
            return entry.bundle.version;
        };
        handlers.on_frame = [&entry](wire::frame& received)
        {
            std::visit([&](auto& message) { handle(entry, message); }, received.body);
        };
        handlers.on_lost = [&entry, host = a.host](base::error const&)
        {
            handle_lost(entry, host);
        };
        entry.agents.push_back(make_link(a.host, a.address, entry.own, std::move(handlers)));
    }
}

void begin_stop(entry_process& entry)
{
    if (entry.stopping)
    {
        return;
    }
    entry.stopping = true;
    base::log_line(base::log_level::info, "stopping", {});
    stop_if_idle(entry);
}

} // namespace

base::result<std::unique_ptr<entry_process>> make_entry(settings::process_settings settings,
                                                        bundle::bundle bundle)
{
    auto made = std::make_unique<entry_process>();
    auto& entry = *made;
    entry.settings = std::move(settings);
    entry.bundle = std::move(bundle);
    entry.own.role = wire::peer_role::entry;
    entry.own.host = entry.settings.host;
    entry.own.domain = entry.settings.domain;
    entry.own.started_at = base::wall_now();
    randombytes_buf(&entry.own.incarnation, sizeof entry.own.incarnation);
    auto callers = http::serve(entry.settings.listen_http,
                               [&entry](auto const& exchange) { handle_caller(entry, exchange); });
    if (!callers)
    {
        return tl::unexpected(callers.error());
    }
    entry.callers = std::move(*callers);
    auto admin = process::serve_admin(entry.settings.listen_admin,
                                      {[&entry] { return dump(entry); }, [] { return ""; },
                                       [&entry]
                                       {
                                           return !entry.stopping;
                                       }});
    if (!admin)
    {
        return tl::unexpected(admin.error());
    }
    entry.admin = std::move(*admin);
    entry.caller_check =
        base::every(http::caller_check_interval, [&entry] { check_callers(entry); });
    connect_agents(entry);
    return made;
}

void run(entry_process& entry)
{
    base::log_line(base::log_level::info, "listening",
                   {{"role", "entry"},
                    {"http_port", entry.callers->listening->port},
                    {"admin_port", entry.admin->listening->port}});
    process::run(entry.loop, [&entry] { begin_stop(entry); });
    base::log_line(base::log_level::info, "stopped", {});
}

} // namespace gooseberrywood::entry
