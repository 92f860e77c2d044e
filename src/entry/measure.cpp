#include "entry/measure.hpp"

#include "provider/call_kind.hpp"

namespace gooseberrywood::entry
{

void count_end(entry_process& entry, request const& which, base::result_code code)
{
    auto const& caller = which.caller;
    base::add(base::counter_at(
        entry.metrics, {"gooseberrywood_requests_total", "Requests by outcome."},
        {{"route", caller.route}, {"team", caller.team}, {"code", base::info(code).name}}));
    if (which.log.attempt > 1)
    {
        base::add(
            base::counter_at(entry.metrics,
                             {"gooseberrywood_retries_total", "Attempts beyond a request's first."},
                             {{"route", caller.route}}),
            which.log.attempt - 1);
    }
    if (code == base::result_code::ok)
    {
        base::record(base::latency_at(entry.metrics,
                                      {"gooseberrywood_request_seconds",
                                       "Time from a request's arrival to the end of its answer."},
                                      {{"route", caller.route}, {"team", caller.team}}),
                     base::mono_now() - which.arrived_at);
        base::add(base::counter_at(entry.metrics,
                                   {"gooseberrywood_generated_tokens_total",
                                    "Generated tokens of complete answers."},
                                   {{"route", caller.route}, {"team", caller.team}}),
                  which.end.total_tokens);
    }
}

void count_refused(entry_process& entry, base::result_code code)
{
    base::add(base::counter_at(
        entry.metrics,
        {"gooseberrywood_refused_total", "Requests refused before they were queued."},
        {{"code", base::info(code).name}}));
}

std::string exposition(entry_process& entry)
{
    auto& in = entry.metrics;
    base::gauge_at(in, {"gooseberrywood_requests", "Requests in progress."}).value =
        static_cast<double>(entry.requests.size());
    base::gauge_at(in, {"gooseberrywood_queued", "Requests that wait for an upstream."}).value =
        static_cast<double>(admission::size(entry.queue));
    base::gauge_at(in, {"gooseberrywood_config_version", "Configuration version in effect."})
        .value = static_cast<double>(process::version(entry.configuration));
    base::gauge_at(
        in, {"gooseberrywood_keyed_routes", "Keyed routes: 0 stopped, 1 restricted, 2 served."})
        .value = static_cast<double>(entry.serving);
    if (entry.platform)
    {
        auto const counts = entry.platform->calls();
        for (std::size_t kind = 0; kind < counts.size(); ++kind)
        {
            auto& counter = base::counter_at(
                in, {"gooseberrywood_platform_calls_total", "Calls to the platform by kind."},
                {{"kind", provider::name_of(static_cast<provider::call_kind>(kind))}});
            counter.value = counts[kind];
        }
    }
    return base::exposition(in);
}

} // namespace gooseberrywood::entry
