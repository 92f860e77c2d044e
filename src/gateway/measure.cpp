#include "gateway/measure.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

constexpr double micros_per_second = 1e6;

template <class T>
store::done<T> measured_done(gateway& self, std::string_view kind, store::done<T> then)
{
    return [&self, kind, then = std::move(then), sent_at = base::mono_now()](base::result<T> got)
    {
        std::string_view const outcome = got ? "answered" : info(got.error().code).name;
        add(counter_at(self.metrics,
                       {"gateway_store_calls_total", "calls to the store by kind and outcome"},
                       {{"kind", kind}, {"outcome", outcome}}));
        record(latency_at(self.metrics,
                          {"gateway_store_call_seconds", "time of calls to the store"},
                          {{"kind", kind}}),
               base::mono_now() - sent_at);
        then(std::move(got));
    };
}

void set_gauge(gateway& self, base::metric_name<base::metric_kind::gauge> name, double value)
{
    base::gauge_at(self.metrics, name).value = value;
}

double age_seconds(base::mono_time since, base::mono_time now)
{
    return static_cast<double>((now - since).count()) / micros_per_second;
}

void show_upstreams(gateway& self, base::mono_time now)
{
    // Ids are new at each start of an upstream, so that a series for each would never end.
    std::map<std::string, std::map<std::string, double>> counts;
    std::map<std::string, double> running;
    for (auto const& [id, one] : self.pool.upstreams)
    {
        auto const* const state = one.record.draining           ? "draining"
                                  : now < one.record.cold_until ? "cold"
                                  : now < one.suspended_until   ? "suspended"
                                  : now < one.loading_until     ? "loading"
                                                                : "ready";
        ++counts[one.record.service][state];
        running[one.record.service] += one.running;
    }
    for (auto const& [service, states] : counts)
    {
        for (auto const* state : {"draining", "cold", "suspended", "loading", "ready"})
        {
            auto const at = states.find(state);
            base::gauge_at(self.metrics, {"gateway_upstreams", "upstreams by service and state"},
                           {{"service", service}, {"state", state}})
                .value = at != states.end() ? at->second : 0;
        }
        base::gauge_at(self.metrics,
                       {"gateway_upstream_requests", "requests that upstreams work on for us"},
                       {{"service", service}})
            .value = running[service];
    }
}

void show_jobs(gateway& self)
{
    double waiting = 0;
    double unstored = 0;
    for (auto const& [id, job] : self.jobs)
    {
        waiting += static_cast<double>(
            std::count_if(job.samples.begin(), job.samples.end(),
                          [](rollout::sample_progress const& one)
                          { return one.phase == rollout::sample_phase::waiting; }));
        unstored += static_cast<double>(job.finished.size() + job.writing.size());
    }
    set_gauge(self, {"gateway_jobs", "batch jobs that this process runs"},
              static_cast<double>(self.jobs.size()));
    set_gauge(self, {"gateway_samples_waiting", "samples without an upstream"}, waiting);
    set_gauge(self, {"gateway_results_unstored", "results that wait to be stored"}, unstored);
    set_gauge(self, {"gateway_runs", "samples that upstreams generate"},
              static_cast<double>(self.runs.size()));
    set_gauge(self, {"gateway_requests", "plain requests in progress"},
              static_cast<double>(self.requests.size()));
}

} // namespace

void count_answer(gateway& self, std::string_view route, std::string_view outcome,
                  base::duration took)
{
    add(counter_at(self.metrics, {"gateway_answers_total", "answers to callers by outcome"},
                   {{"route", route}, {"outcome", outcome}}));
    record(latency_at(self.metrics, {"gateway_answer_seconds", "time to the answer"},
                      {{"route", route}}),
           took);
}

void count_error(gateway& self, std::string_view code)
{
    add(counter_at(self.metrics, {"gateway_errors_total", "own errors by result code"},
                   {{"code", code}}));
}

void count_try(gateway& self, std::string_view service, std::string_view outcome)
{
    add(counter_at(self.metrics, {"gateway_tries_total", "tries of plain requests by outcome"},
                   {{"service", service}, {"outcome", outcome}}));
}

void count_relayed(gateway& self, bool served)
{
    add(counter_at(self.metrics,
                   {"gateway_relayed_store_calls_total",
                    "calls to the store that another gateway made, by outcome"},
                   {{"outcome", served ? "answered" : "failed"}}));
}

void count_list_request(gateway& self, std::string_view outcome)
{
    add(counter_at(self.metrics,
                   {"gateway_list_requests_total", "requests for lists to other gateways"},
                   {{"outcome", outcome}}));
}

void count_run(gateway& self, std::string_view event)
{
    add(counter_at(self.metrics, {"gateway_sample_runs_total", "runs of samples by their end"},
                   {{"event", event}}));
}

void count_sample(gateway& self, bool done, base::duration took)
{
    add(counter_at(self.metrics, {"gateway_samples_total", "listed samples"},
                   {{"state", done ? "done" : "given_up"}}));
    record(latency_at(self.metrics, {"gateway_sample_seconds",
                                     "time from a job's submission to a listed sample"}),
           took);
}

void count_order(gateway& self, std::string_view outcome)
{
    add(counter_at(self.metrics, {"gateway_orders_total", "orders to load weights by outcome"},
                   {{"outcome", outcome}}));
}

void count_change(gateway& self, std::string_view change)
{
    add(counter_at(self.metrics,
                   {"gateway_changes_total", "leases, leadership and jobs won or lost"},
                   {{"change", change}}));
}

store::client measured(gateway& self, store::client const& inner)
{
    store::client made;
    made.read = [&self, call = inner.read](auto key, auto deadline, auto then)
    {
        call(std::move(key), deadline, measured_done(self, "read", std::move(then)));
    };
    made.list = [&self, call = inner.list](auto prefix, auto after, auto deadline, auto then)
    {
        call(std::move(prefix), std::move(after), deadline,
             measured_done(self, "list", std::move(then)));
    };
    made.commit_transaction =
        [&self, call = inner.commit_transaction](auto what, auto deadline, auto then)
    {
        call(std::move(what), deadline, measured_done(self, "commit", std::move(then)));
    };
    made.grant = [&self, call = inner.grant](auto length, auto deadline, auto then)
    {
        call(length, deadline, measured_done(self, "grant", std::move(then)));
    };
    made.renew = [&self, call = inner.renew](auto lease, auto deadline, auto then)
    {
        call(lease, deadline, measured_done(self, "renew", std::move(then)));
    };
    made.revoke = [&self, call = inner.revoke](auto lease, auto deadline, auto then)
    {
        call(lease, deadline, measured_done(self, "revoke", std::move(then)));
    };
    return made;
}

std::string exposition(gateway& self)
{
    auto const now = base::mono_now();
    show_jobs(self);
    show_upstreams(self, now);
    set_gauge(self, {"gateway_leads", "1 while this process leads"}, self.candidate.held ? 1 : 0);
    set_gauge(self, {"gateway_lease_held", "1 while the lease in the store holds"},
              has_lease(self, now) ? 1 : 0);
    set_gauge(self, {"gateway_configuration_version", "version in effect"},
              self.configuration ? static_cast<double>(self.configuration->version) : 0);
    set_gauge(self, {"gateway_configuration_age", "seconds since it was last confirmed"},
              age_seconds(self.operator_poller.confirmed_at, now));
    set_gauge(self, {"gateway_log_lines_dropped", "log lines that the output did not take"},
              static_cast<double>(base::dropped_log_lines()));
    return base::exposition(self.metrics);
}

} // namespace gooseberrywood::gateway
