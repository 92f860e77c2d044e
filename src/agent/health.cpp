#include "agent/health.hpp"

#include "agent/configuration.hpp"
#include "agent/replies.hpp"
#include "agent/work.hpp"
#include "base/log.hpp"

#include <sodium.h>

#include <sys/socket.h>

#include <cerrno>
#include <string_view>

namespace gooseberrywood::agent
{

namespace
{

// An upstream takes seconds to minutes to start; this finds it soon and costs nothing.
constexpr base::duration probe_interval = std::chrono::milliseconds(250);

// A process that ends closes its connections before its listening socket, so a connection that is
// made in between says nothing yet. It must stay open for this time.
constexpr base::duration probe_hold = std::chrono::milliseconds(100);

std::string_view address_of(upstream const& where)
{
    constexpr std::string_view scheme = "http://";
    return std::string_view(where.settings.url).substr(scheme.size());
}

void send_marks(agent_process& agent, std::span<admission::running_attempt const> lost,
                std::uint64_t crash_id)
{
    auto const expires_at = base::mono_now() + admission::suspect_lifetime;
    for (auto const& a : lost)
    {
        send_to_all(agent, wire::suspect{a.fingerprint, {crash_id}, wire::to_wall(expires_at)});
    }
}

void declare_crash(agent_process& agent, upstream& where)
{
    std::uint64_t crash_id = 0;
    randombytes_buf(&crash_id, sizeof crash_id);
    auto const ended = admission::handle_crash(where.point, crash_id, base::mono_now());
    base::log_line(base::log_level::warning, "upstream_crashed",
                   {{"upstream", std::string_view(where.settings.name)},
                    {"running", static_cast<std::int64_t>(ended.running.size())}});
    where.executions.clear();
    where.broken.clear();
    // Marks first: an entry must know them before it sends the requests elsewhere.
    send_marks(agent, ended.running, crash_id);
    send_refusals(agent, ended.refused);
    for (auto const& a : ended.running)
    {
        send_lost(agent, a.entry, {a.id, a.attempt},
                  {base::result_code::upstream_crashed, "the upstream crashed"});
    }
}

void handle_dead(agent_process& agent, upstream& where)
{
    if (!where.is_down || !where.broken.empty())
    {
        declare_crash(agent, where);
        where.is_down = true;
        close_or_open(agent, where);
        stop_if_idle(agent);
    }
    where.probe_timer =
        base::at(base::mono_now() + probe_interval, [&agent, &where] { probe(agent, where); });
}

void handle_alive(agent_process& agent, upstream& where)
{
    auto const broken = std::move(where.broken);
    where.broken.clear();
    for (auto const& b : broken)
    {
        admission::finish_attempt(where.point, b.key.id, b.key.attempt,
                                  {admission::attempt_outcome::failed, 0, 0, {}, {}},
                                  base::mono_now());
        send_lost(agent, b.entry, b.key, b.why);
    }
    if (where.is_down)
    {
        base::log_line(base::log_level::info, "upstream_up",
                       {{"upstream", std::string_view(where.settings.name)}});
        where.is_down = false;
        close_or_open(agent, where);
    }
    pump(agent, where);
    stop_if_idle(agent);
}

bool is_closed_by_peer(GSocket* socket)
{
    char byte = 0;
    auto const count = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void end_probe(agent_process& agent, upstream& where, bool is_alive)
{
    where.probe_socket.reset();
    where.is_probing = false;
    if (is_alive)
    {
        handle_alive(agent, where);
    }
    else
    {
        handle_dead(agent, where);
    }
}

} // namespace

void probe(agent_process& agent, upstream& where)
{
    if (where.is_probing)
    {
        return;
    }
    where.is_probing = true;
    wire::connect_to(
        address_of(where),
        [&agent, &where](base::result<base::object_ptr<GSocket>> socket)
        {
            if (!socket)
            {
                end_probe(agent, where, false);
                return;
            }
            where.probe_socket = std::move(*socket);
            where.probe_timer = base::at(
                base::mono_now() + probe_hold, [&agent, &where]
                { end_probe(agent, where, !is_closed_by_peer(where.probe_socket.get())); });
        });
}

} // namespace gooseberrywood::agent
