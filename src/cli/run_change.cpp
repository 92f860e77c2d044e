#include "cli/run_change.hpp"

#include "cli/change_session.hpp"
#include "cli/report.hpp"
#include "provider/http_services.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <cstdio>
#include <optional>
#include <utility>

namespace gooseberrywood::cli::detail
{

namespace
{

// The list is read once. A command that can't learn whom to announce to says so soon.
constexpr base::duration host_list_timeout = std::chrono::seconds(5);

// The withdrawal of an announcement spares entries a doubt of 15 s; it is not waited for longer.
constexpr base::duration farewell_limit = std::chrono::seconds(1);

using host_list_answer = base::result<std::vector<provider::host_info>>;

host_list_answer read_hosts(provider::services const& from)
{
    auto const got = std::make_shared<std::optional<host_list_answer>>();
    from.hosts.read(base::mono_now() + host_list_timeout,
                    [got](host_list_answer const& answer) { *got = answer; });
    while (!*got)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    return std::move(**got);
}

void print_line(std::string const& line)
{
    fmt::print("{}\n", line);
    // A command that waits must show what it waits for also when its output is not a terminal.
    (void)std::fflush(stdout);
}

void run_loop(change_session const& session)
{
    while (session.round.phase != config::apply_phase::finished)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    bool late = false;
    auto const limit = base::at(base::mono_now() + farewell_limit, [&late] { late = true; });
    while (!late && !is_done(session))
    {
        g_main_context_iteration(nullptr, TRUE);
    }
}

int print_outcome(change_session const& session)
{
    auto const& outcome = session.round.outcome;
    if (outcome.code == base::result_code::ok)
    {
        print_line(outcome.message);
        return 0;
    }
    auto message = outcome.message;
    if (outcome.code == base::result_code::not_in_force_everywhere)
    {
        message += fmt::format("\nno answer from: {}", fmt::join(outcome.not_answered, ", "));
    }
    auto const unreachable = unreachable_agents(session);
    if (outcome.code == base::result_code::timeout && !unreachable.empty())
    {
        message += fmt::format("\nagents that can't be reached: {}", fmt::join(unreachable, ", "));
    }
    return report({outcome.code, std::move(message)});
}

} // namespace

int run_change(change_plan plan)
{
    auto services = provider::make_http_services(plan.settings.platform_url);
    if (!services)
    {
        return report(services.error());
    }
    auto const hosts = read_hosts(*services);
    if (!hosts)
    {
        return report(
            {hosts.error().code,
             fmt::format("not written: the host list can't be read: {}", hosts.error().message)});
    }
    auto const session = start_session(std::move(*services), std::move(plan), *hosts, print_line);
    run_loop(*session);
    return print_outcome(*session);
}

} // namespace gooseberrywood::cli::detail
