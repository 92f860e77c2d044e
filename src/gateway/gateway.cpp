#include "gateway/gateway.hpp"

#include "base/log.hpp"
#include "gateway/caller_limits.hpp"
#include "gateway/callers.hpp"
#include "gateway/dump.hpp"
#include "gateway/hand_over.hpp"
#include "gateway/leadership.hpp"
#include "gateway/lease_keeper.hpp"
#include "gateway/measure.hpp"
#include "gateway/peer_messages.hpp"
#include "gateway/refresh.hpp"
#include "gateway/sample_runner.hpp"
#include "http/call.hpp"
#include "platform/store_client.hpp"
#include "process/admin.hpp"

#include <algorithm>
#include <csignal>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

// Work for a caller must stop within half a second after the caller has disconnected.
constexpr base::duration caller_check_interval = std::chrono::milliseconds(150);

// The load balancer sends new connections for about two seconds after SIGTERM.
constexpr base::duration listen_time_after_stop = std::chrono::milliseconds(3500);
constexpr base::duration stop_check_interval = std::chrono::milliseconds(50);
// Reserved at the end of the stop grace period, after which the process is killed.
constexpr base::duration stop_margin = std::chrono::milliseconds(1000);
// Time for the answers that are sent at the end.
constexpr base::duration last_answers_duration = std::chrono::milliseconds(400);
// Time for writing the answers that are due when the last connections are closed.
constexpr base::duration last_write_duration = std::chrono::milliseconds(200);

// Without the store a gateway accepts no jobs, and soon no keys. The load balancer needs two
// seconds to send callers elsewhere, so the gateway reports not ready before its keys become too
// old.
constexpr base::duration ready_time_without_store = std::chrono::milliseconds(2200);

base::result<void> open_caller_ports(gateway& self)
{
    auto callers = http::serve(
        self.settings.listen_callers,
        [&self](auto const& exchange) { handle_caller(self, exchange); }, caller_options(self));
    if (!callers)
    {
        return tl::unexpected(callers.error());
    }
    self.callers = std::move(*callers);
    http::shed_when_full(*self.callers);
    auto ready = http::serve(
        self.settings.listen_ready,
        [&self](auto const& exchange)
        {
            bool const is_up = is_ready(self, base::mono_now());
            http::respond(*exchange, is_up ? 200 : 503, "text/plain",
                          is_up ? "ready\n" : "not ready\n");
        },
        service_options(self));
    if (!ready)
    {
        return tl::unexpected(ready.error());
    }
    self.ready = std::move(*ready);
    return {};
}

base::result<void> open_ports(gateway& self)
{
    if (!self.settings.listen_callers.empty())
    {
        if (auto opened = open_caller_ports(self); !opened)
        {
            return opened;
        }
    }
    auto admin =
        process::serve_admin(self.settings.listen_admin,
                             {[&self] { return dump(self); }, [&self] { return exposition(self); },
                              [&self]
                              {
                                  return is_ready(self, base::mono_now());
                              }},
                             service_options(self));
    if (!admin)
    {
        return tl::unexpected(admin.error());
    }
    self.admin = std::move(*admin);
    return {};
}

/// Whether a request is being read, runs or is being answered. A connection that is open may carry
/// one.
bool has_work(gateway const& self)
{
    return !self.requests.empty() || !self.callers->connections->open.empty();
}

/// Times of the last steps of a stop, each counted from when the step before it was made.
struct stop_end
{
    /// Connections without an answer in progress are closed.
    base::mono_time close_at = base::mono_time::max();
    /// The process ends whatever is still to be written.
    base::mono_time exit_at = base::mono_time::max();
};

/// Stops the process once no caller waits for an answer. Callers that still wait at the end are
/// answered first.
/// \param end times of the end, set at the first call after `latest`.
void stop_when_idle(gateway& self, base::mono_time listen_until, base::mono_time latest,
                    stop_end& end)
{
    auto const now = base::mono_now();
    if (now < listen_until)
    {
        return;
    }
    http::stop_listening(*self.callers);
    http::close_idle_connections(*self.callers);
    if (now >= latest)
    {
        end_callers(self);
        // From now, and not from `latest`: the main loop may be late.
        end.close_at = std::min(end.close_at, now + last_answers_duration);
    }
    if (now >= end.close_at)
    {
        http::close_unanswered_connections(*self.callers);
        end.exit_at = std::min(end.exit_at, now + last_write_duration);
    }
    if (has_work(self) && now < end.exit_at)
    {
        return;
    }
    self.stop_timer.reset();
    process::stop(self.loop);
}

void begin_stop(gateway& self)
{
    if (self.stopping)
    {
        return;
    }
    base::log_line(base::log_level::info, "stopping",
                   {{"jobs", static_cast<std::int64_t>(self.jobs.size())},
                    {"requests", static_cast<std::int64_t>(self.requests.size())}});
    self.stopping = true;
    if (!self.callers)
    {
        process::stop(self.loop);
        return;
    }
    http::announce_close(*self.callers);
    resign(self);
    hand_over_jobs(self, [&self] { revoke_lease(self); });
    auto const now = base::mono_now();
    auto const latest = now + self.settings.stop_grace - stop_margin;
    self.stop_timer = base::every(
        stop_check_interval,
        [&self, listen_until = std::min(now + listen_time_after_stop, latest), latest,
         end = stop_end{}]() mutable { stop_when_idle(self, listen_until, latest, end); });
}

} // namespace

base::result<std::unique_ptr<gateway>> make_gateway(settings::gateway_settings settings)
{
    auto created = std::make_unique<gateway>();
    auto& self = *created;
    self.settings = std::move(settings);
    self.started_at = base::mono_now();
    self.descriptors = http::divide_descriptors(self.settings.max_descriptors);
    self.budgets = http::make_memory_budgets(self.settings.memory.memory_bytes);
    self.response_limits =
        http::make_response_limits(self.settings.memory.max_response_bytes, self.budgets.responses);
    self.upstream_session = http::make_session(self.response_limits, self.descriptors.upstreams);
    self.control_session = http::make_session(self.response_limits);
    self.relay.direct = platform::make_store_transport(self.settings.store);
    self.store = instrument_store(self, platform::make_store_client(make_relayed_transport(self)));
    self.usage.length = self.settings.usage_window;
    if (auto const ports = open_ports(self); !ports)
    {
        return tl::unexpected(ports.error());
    }
    if (self.settings.listen_callers.empty())
    {
        // Without a caller port the process holds no state and does not use the store.
        return created;
    }
    if (auto const listening = start_peer_messages(self); !listening)
    {
        return tl::unexpected(listening.error());
    }
    self.caller_check = base::every(caller_check_interval, [&self] { check_callers(self); });
    start_lease(self);
    start_leadership(self);
    start_sample_checks(self);
    start_refresh(self);
    return created;
}

void run(gateway& self)
{
    base::log_line(base::log_level::info, "listening",
                   {{"role", "gateway"},
                    {"host", self.settings.host},
                    {"http_port", self.callers ? self.callers->listening->port : 0},
                    {"admin_port", self.admin->listening->port}});
    auto const on_reload = base::on_signal(
        SIGHUP, [] { base::log_line(base::log_level::info, "reload_requested", {}); });
    process::run(self.loop, [&self] { begin_stop(self); });
    base::log_line(base::log_level::info, "stopped", {});
}

bool is_ready(gateway const& self, base::mono_time now)
{
    return !self.stopping && has_current_keys(self, now) && !self.pool.upstreams.empty() &&
           now < last_store_read_at(self) + ready_time_without_store;
}

} // namespace gooseberrywood::gateway
