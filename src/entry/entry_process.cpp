#include "entry/entry_process.hpp"

#include "base/log.hpp"
#include "entry/agents.hpp"
#include "entry/callers.hpp"
#include "entry/configuration.hpp"
#include "entry/dump.hpp"
#include "entry/measure.hpp"
#include "entry/platform_watch.hpp"
#include "http/descriptor_limits.hpp"
#include "http/limits.hpp"
#include "process/admin.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <utility>

namespace gooseberrywood::entry
{

namespace
{

http::server_options caller_options(entry_process const& entry)
{
    http::server_options options;
    options.limits.max_connections = http::divide_descriptors().callers;
    options.budgets = entry.budgets;
    return options;
}

base::result<void> open_ports(entry_process& entry)
{
    auto callers = http::serve(
        entry.settings.listen_http,
        [&entry](auto const& exchange) { handle_caller(entry, exchange); }, caller_options(entry));
    if (!callers)
    {
        return tl::unexpected(callers.error());
    }
    entry.callers = std::move(*callers);
    http::shed_when_full(*entry.callers);
    auto admin =
        process::serve_admin(entry.settings.listen_admin, {[&entry] { return dump(entry); },
                                                           [&entry] { return exposition(entry); },
                                                           [&entry]
                                                           {
                                                               return !entry.stopping;
                                                           }});
    if (!admin)
    {
        return tl::unexpected(admin.error());
    }
    entry.admin = std::move(*admin);
    return {};
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
                                                        std::optional<bundle::bundle> bundle)
{
    auto made = std::make_unique<entry_process>();
    auto& entry = *made;
    entry.settings = std::move(settings);
    entry.budgets = http::make_memory_budgets(entry.settings.memory.memory_bytes);
    entry.response_limits = http::make_response_limits(entry.settings.memory.max_response_bytes,
                                                       entry.budgets.responses);
    entry.own.role = wire::peer_role::entry;
    entry.own.host = entry.settings.host;
    entry.own.domain = entry.settings.domain;
    entry.own.started_at = base::wall_now();
    randombytes_buf(&entry.own.incarnation, sizeof entry.own.incarnation);
    entry.random.seed(entry.own.incarnation);
    if (auto const ports = open_ports(entry); !ports)
    {
        return tl::unexpected(ports.error());
    }
    entry.caller_check =
        base::every(http::caller_check_interval, [&entry] { check_callers(entry); });
    if (auto const platform = start_platform(entry); !platform)
    {
        return tl::unexpected(platform.error());
    }
    if (bundle)
    {
        process::use_bundle_file(entry.configuration, std::move(*bundle));
        apply_configuration(entry);
    }
    for (auto const& agent : entry.settings.agents)
    {
        add_agent(entry, agent.host, agent.address);
        entry.claim_homes.push_back(routing::make_claim_home(agent.host, agent.host));
    }
    return made;
}

void stop_if_idle(entry_process& entry)
{
    if (!entry.stopping || !entry.requests.empty())
    {
        return;
    }
    // The last answers are still being written; a caller that keeps its connection open without a
    // request must not hold up the stop, so the wait is bounded.
    constexpr base::duration longest_write = std::chrono::seconds(10);
    entry.caller_check =
        base::every(std::chrono::milliseconds(1),
                    [&entry, until = base::mono_now() + longest_write]
                    {
                        if (entry.callers->open_responses == 0 || base::mono_now() >= until)
                        {
                            process::stop(entry.loop);
                        }
                    });
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
