#include "agent/agent_process.hpp"

#include "agent/configuration.hpp"
#include "agent/dump.hpp"
#include "agent/frames.hpp"
#include "agent/measure.hpp"
#include "agent/replies.hpp"
#include "agent/reports.hpp"
#include "agent/work.hpp"
#include "base/log.hpp"
#include "process/admin.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <utility>

namespace gooseberrywood::agent
{

namespace
{

constexpr base::duration tick_interval = std::chrono::seconds(1);

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

void make_upstreams(agent_process& agent)
{
    for (auto const& u : agent.settings.upstreams)
    {
        auto made = std::make_unique<upstream>();
        made->settings = u;
        made->point = admission::make_admission_controller({}, agent.started_at);
        agent.upstreams.emplace(u.name, std::move(made));
    }
}

void on_tick(agent_process& agent)
{
    auto const now = base::mono_now();
    admission::expire(agent.claims, now);
    ask_for_configuration(agent);
    send_peer_versions(agent);
    for (auto const& [name, where] : agent.upstreams)
    {
        end_overdue(agent, *where, now);
        rebalance_credit(agent, *where);
        pump(agent, *where);
    }
}

void begin_stop(agent_process& agent)
{
    if (agent.stopping)
    {
        return;
    }
    agent.stopping = true;
    base::log_line(base::log_level::info, "stopping", {});
    for (auto const& [name, where] : agent.upstreams)
    {
        close_or_open(agent, *where);
    }
    stop_if_idle(agent);
}

base::result<void> open_ports(agent_process& agent)
{
    auto listener =
        wire::listen(agent.settings.listen_wire, [&agent](base::object_ptr<GSocket> socket)
                     { accept_entry(agent, std::move(socket)); });
    if (!listener)
    {
        return tl::unexpected(listener.error());
    }
    agent.listener = std::move(*listener);
    auto admin =
        process::serve_admin(agent.settings.listen_admin, {[&agent] { return dump(agent); },
                                                           [&agent] { return exposition(agent); },
                                                           [&agent]
                                                           {
                                                               return !agent.stopping;
                                                           }});
    if (!admin)
    {
        return tl::unexpected(admin.error());
    }
    agent.admin = std::move(*admin);
    return {};
}

} // namespace

base::result<std::unique_ptr<agent_process>> make_agent(settings::process_settings settings,
                                                        std::optional<bundle::bundle> bundle)
{
    auto made = std::make_unique<agent_process>();
    auto& agent = *made;
    agent.settings = std::move(settings);
    agent.own = make_hello(agent.settings);
    agent.started_at = base::mono_now();
    agent.session = http::make_session(http::make_response_limits(
        agent.settings.memory.max_response_bytes, agent.settings.memory.memory_bytes));
    make_upstreams(agent);
    agent.self.domain = agent.settings.domain;
    agent.announcements = config::start_announcements(agent.started_at);
    agent.configuration = process::start_configuration(agent.settings);
    agent.configuration.on_change = [&agent](bundle::bundle const& before)
    {
        apply_configuration(agent, before);
    };
    if (bundle)
    {
        process::use_bundle_file(agent.configuration, std::move(*bundle));
    }
    apply_configuration(agent, {});
    if (auto const ports = open_ports(agent); !ports)
    {
        return tl::unexpected(ports.error());
    }
    agent.tick = base::every(tick_interval, [&agent] { on_tick(agent); });
    return made;
}

void stop_if_idle(agent_process& agent)
{
    if (!agent.stopping)
    {
        return;
    }
    for (auto const& [name, where] : agent.upstreams)
    {
        if (!admission::is_idle(where->point))
        {
            return;
        }
    }
    // Answers that were queued for the entries are written before the process ends.
    agent.tick = base::every(std::chrono::milliseconds(1),
                             [&agent]
                             {
                                 for (auto const& [number, peer] : agent.peers)
                                 {
                                     if (!peer.connection->unsent.empty())
                                     {
                                         return;
                                     }
                                 }
                                 process::stop(agent.loop);
                             });
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
