#include "agent/measure.hpp"

#include <array>

namespace gooseberrywood::agent
{

namespace
{

std::string_view name_of(admission::attempt_outcome outcome)
{
    constexpr std::array<std::string_view, 4> names = {"completed", "overloaded", "failed",
                                                       "canceled"};
    return names[static_cast<std::size_t>(outcome)];
}

} // namespace

void count_end(agent_process& agent, upstream const& where, execution const& ended,
               admission::attempt_outcome outcome)
{
    auto const& name = where.settings.name;
    base::add(base::counter_at(agent.metrics,
                               {"gooseberrywood_attempts_total", "Attempts by outcome."},
                               {{"upstream", name}, {"outcome", name_of(outcome)}}));
    base::add(base::counter_at(agent.metrics,
                               {"gooseberrywood_tokens_total", "Tokens that upstreams generated."},
                               {{"upstream", name}, {"team", ended.attempt.team}}),
              ended.stream.next_token - ended.attempt.resume_tokens);
    base::record(base::latency_at(agent.metrics,
                                  {"gooseberrywood_attempt_seconds",
                                   "Time of an attempt at its upstream, without its wait."},
                                  {{"upstream", name}}),
                 base::mono_now() - ended.began);
}

std::string exposition(agent_process& agent)
{
    auto const now = base::mono_now();
    auto& in = agent.metrics;
    for (auto const& [name, where] : agent.upstreams)
    {
        auto const load = admission::load(where->point, now);
        base::gauge_at(in, {"gooseberrywood_upstream_limit", "Concurrency limit."},
                       {{"upstream", name}})
            .value = load.limit;
        base::gauge_at(in, {"gooseberrywood_upstream_running", "Attempts that run."},
                       {{"upstream", name}})
            .value = load.running;
        base::gauge_at(in, {"gooseberrywood_upstream_queued", "Attempts that wait."},
                       {{"upstream", name}})
            .value = load.queued;
        base::gauge_at(in, {"gooseberrywood_upstream_accepting", "1 if new work is accepted."},
                       {{"upstream", name}})
            .value = load.accepting ? 1 : 0;
    }
    base::gauge_at(in, {"gooseberrywood_config_version", "Configuration version in effect."})
        .value = static_cast<double>(process::version(agent.configuration));
    return base::exposition(in);
}

} // namespace gooseberrywood::agent
