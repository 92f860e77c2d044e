#include "agent/agent_process.hpp"

#include "base/log.hpp"
#include "process/admin.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sodium.h>

#include <utility>

namespace gooseberrywood::agent
{

namespace
{

using base::result_code;

void send_to(agent_process& agent, std::uint64_t number, wire::message body)
{
    auto const at = agent.peers.find(number);
    if (at != agent.peers.end())
    {
        (void)wire::send(*at->second.connection, std::move(body));
    }
}

void refuse(agent_process& agent, std::uint64_t to, wire::start const& attempt,
            base::error const& why, bool not_run)
{
    send_to(agent, to,
            wire::refuse{attempt.id, attempt.attempt, why.code, not_run, {}, why.message});
}

void run_next(agent_process& agent, upstream& where);

void stop_if_idle(agent_process& agent)
{
    if (!agent.stopping)
    {
        return;
    }
    for (auto const& [name, where] : agent.upstreams)
    {
        if (!where.running.empty() || !where.waiting.empty())
        {
            return;
        }
    }
    process::stop(agent.loop);
}

void end_attempt(agent_process& agent, upstream& where, base::request_id const& id)
{
    where.running.erase(id);
    run_next(agent, where);
    stop_if_idle(agent);
}

execution_handlers make_handlers(agent_process& agent, upstream& where, std::uint64_t peer,
                                 wire::start const& attempt)
{
    auto const id = attempt.id;
    auto const number = attempt.attempt;
    return {[&agent, peer](wire::chunk message) { send_to(agent, peer, std::move(message)); },
            [&agent, &where, peer, id](wire::finished message)
            {
                send_to(agent, peer, std::move(message));
                end_attempt(agent, where, id);
            },
            [&agent, &where, peer, id, number](execution_failure const& failure)
            {
                send_to(agent, peer,
                        wire::refuse{
                            id, number, failure.why.code, !failure.sent, {}, failure.why.message});
                end_attempt(agent, where, id);
            }};
}

void start_attempt(agent_process& agent, upstream& where, waiting_attempt next)
{
    auto const* route = bundle::find_route(agent.bundle, next.attempt.route);
    bool const is_engine = route != nullptr && route->kind == bundle::route_kind::model;
    auto handlers = make_handlers(agent, where, next.peer, next.attempt);
    auto const attempt = next.attempt;
    auto run = execute(agent.session.get(), where.settings.url, is_engine, std::move(next.attempt),
                       std::move(handlers));
    if (!run)
    {
        refuse(agent, next.peer, attempt, run.error(), true);
        return;
    }
    send_to(agent, next.peer, wire::started{attempt.id, attempt.attempt});
    where.running.emplace(attempt.id, running_attempt{std::move(*run), next.peer});
}

void run_next(agent_process& agent, upstream& where)
{
    auto const* route = bundle::find_route(agent.bundle, where.settings.route);
    std::size_t const limit = route != nullptr ? route->max_limit : 1;
    while (where.running.size() < limit && !where.waiting.empty())
    {
        auto next = std::move(where.waiting.front());
        where.waiting.pop_front();
        start_attempt(agent, where, std::move(next));
    }
}

void handle(agent_process& agent, std::uint64_t peer, wire::start& message)
{
    if (agent.stopping)
    {
        refuse(agent, peer, message, {result_code::shutting_down, "the agent is stopping"}, true);
        return;
    }
    auto const at = agent.upstreams.find(message.upstream);
    if (at == agent.upstreams.end())
    {
        refuse(agent, peer, message,
               {result_code::no_upstream,
                fmt::format("no upstream {} on this host", message.upstream)},
               true);
        return;
    }
    at->second.waiting.push_back({std::move(message), peer});
    run_next(agent, at->second);
}

void handle(agent_process& agent, std::uint64_t, wire::cancel const& message)
{
    for (auto& [name, where] : agent.upstreams)
    {
        std::erase_if(where.waiting,
                      [&](waiting_attempt const& w) { return w.attempt.id == message.id; });
        if (where.running.erase(message.id) > 0)
        {
            run_next(agent, where);
        }
    }
    stop_if_idle(agent);
}

template <class Other>
void handle(agent_process&, std::uint64_t, Other const&)
{
    // Other messages concern nothing that this process does yet.
}

void handle_closed(agent_process& agent, std::uint64_t number, base::error const& why)
{
    base::log_line(base::log_level::info, "entry_disconnected",
                   {{"code", why.code}, {"message", std::string_view(why.message)}});
    agent.peers.erase(number);
    for (auto& [name, where] : agent.upstreams)
    {
        std::erase_if(where.waiting,
                      [number](waiting_attempt const& w) { return w.peer == number; });
        // A non-idempotent request runs to its end: breaking it off would leave its outcome open.
        std::erase_if(where.running,
                      [number](auto const& item) {
                          return item.second.peer == number && item.second.run->attempt.idempotent;
                      });
        run_next(agent, where);
    }
    stop_if_idle(agent);
}

void accept(agent_process& agent, base::object_ptr<GSocket> socket)
{
    auto const number = agent.next_peer++;
    wire::connection_handlers handlers;
    handlers.config_version = [&agent]
    {
        return agent.bundle.version;
    };
    handlers.on_frame = [&agent, number](wire::frame& received)
    {
        std::visit([&](auto& message) { handle(agent, number, message); }, received.body);
    };
    handlers.on_closed = [&agent, number](base::error const& why)
    {
        handle_closed(agent, number, why);
    };
    agent.peers.emplace(number, peer{number, wire::make_connection(std::move(socket), agent.own,
                                                                   std::move(handlers))});
}

nlohmann::ordered_json dump(agent_process const& agent)
{
    nlohmann::ordered_json out;
    out["role"] = "agent";
    out["host"] = agent.settings.host;
    out["domain"] = agent.settings.domain;
    out["incarnation"] = agent.own.incarnation;
    out["config_version"] = agent.bundle.version;
    out["stopping"] = agent.stopping;
    out["entries"] = agent.peers.size();
    for (auto const& [name, where] : agent.upstreams)
    {
        out["upstreams"][name] = {{"route", where.settings.route},
                                  {"running", where.running.size()},
                                  {"waiting", where.waiting.size()}};
    }
    return out;
}

wire::hello make_hello(settings::process_settings const& settings)
{
    wire::hello own;
    own.role = wire::peer_role::agent;
    own.host = settings.host;
    own.domain = settings.domain;
    own.started_at = base::wall_now();
    randombytes_buf(&own.incarnation, sizeof own.incarnation);
    for (auto const& u : settings.upstreams)
    {
        own.upstreams.push_back({u.name, u.route});
    }
    return own;
}

void begin_stop(agent_process& agent)
{
    if (agent.stopping)
    {
        return;
    }
    agent.stopping = true;
    base::log_line(base::log_level::info, "stopping", {});
    for (auto& [name, where] : agent.upstreams)
    {
        for (auto const& w : where.waiting)
        {
            refuse(agent, w.peer, w.attempt, {result_code::shutting_down, "the agent is stopping"},
                   true);
        }
        where.waiting.clear();
    }
    stop_if_idle(agent);
}

} // namespace

base::result<std::unique_ptr<agent_process>> make_agent(settings::process_settings settings,
                                                        bundle::bundle bundle)
{
    auto made = std::make_unique<agent_process>();
    auto& agent = *made;
    agent.settings = std::move(settings);
    agent.bundle = std::move(bundle);
    agent.own = make_hello(agent.settings);
    agent.session = http::make_session();
    for (auto const& u : agent.settings.upstreams)
    {
        agent.upstreams[u.name].settings = u;
    }
    auto listener =
        wire::listen(agent.settings.listen_wire, [&agent](base::object_ptr<GSocket> socket)
                     { accept(agent, std::move(socket)); });
    if (!listener)
    {
        return tl::unexpected(listener.error());
    }
    agent.listener = std::move(*listener);
    auto admin = process::serve_admin(agent.settings.listen_admin,
                                      {[&agent] { return dump(agent); }, [] { return ""; },
                                       [&agent]
                                       {
                                           return !agent.stopping;
                                       }});
    if (!admin)
    {
        return tl::unexpected(admin.error());
    }
    agent.admin = std::move(*admin);
    return made;
}

void run(agent_process& agent)
{
    base::log_line(base::log_level::info, "listening",
                   {{"role", "agent"},
                    {"wire_port", agent.listener->port},
                    {"admin_port", agent.admin->listening->port}});
    process::run(agent.loop, [&agent] { begin_stop(agent); });
    base::log_line(base::log_level::info, "stopped", {});
}

} // namespace gooseberrywood::agent
