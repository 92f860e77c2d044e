#include "gateway/measure.hpp"

#include "base/log.hpp"
#include "duty/weights_loads.hpp"
#include "gateway/training_steps.hpp"
#include "rollout/model_demand.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

constexpr double micros_per_second = 1e6;

template <class T>
store::done<T> instrument_done(gateway& self, std::string_view kind, store::done<T> done)
{
    return [&self, kind, done = std::move(done), sent_at = base::mono_now()](base::result<T> result)
    {
        std::string_view const outcome = result ? "answered" : info(result.error().code).name;
        add(counter_at(self.metrics,
                       {"gateway_store_calls_total", "calls to the store by kind and outcome"},
                       {{"kind", kind}, {"outcome", outcome}}));
        record(latency_at(self.metrics,
                          {"gateway_store_call_seconds", "time of calls to the store"},
                          {{"kind", kind}}),
               base::mono_now() - sent_at);
        done(std::move(result));
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

/// Times of the fastest and slowest upstream of a service relative to the median.
void update_speed_gauges(gateway& self, std::string const& service, base::mono_time now)
{
    auto const& events = fleet::event_times(self.pool, service, now);
    auto const& times =
        events.median_us > 0 ? events : fleet::answer_times(self.pool, service, now);
    auto const set_relative = [&](std::string_view upstream, double us)
    {
        base::gauge_at(self.metrics,
                       {"gateway_upstream_relative_time",
                        "time per event or answer relative to the median, of two upstreams"},
                       {{"service", service}, {"upstream", upstream}})
            .value = times.median_us > 0 ? us / times.median_us : 1;
    };
    set_relative("fastest", times.fastest_us);
    set_relative("slowest", times.slowest_us);
}

void update_upstream_gauges(gateway& self, base::mono_time now)
{
    // Upstream ids change with each start, so a series per id would grow without bound.
    std::map<std::string, std::map<std::string, double>> counts;
    std::map<std::string, double> running;
    std::map<std::string, double> outstanding;
    for (auto const& [id, upstream] : self.pool.upstreams)
    {
        auto const* const state = upstream.record.draining           ? "draining"
                                  : upstream.leaving                 ? "leaving"
                                  : now < upstream.record.cold_until ? "cold"
                                  : now < upstream.suspended_until   ? "suspended"
                                  : now < upstream.loading_until     ? "loading"
                                  : upstream.limit.requests_per_s    ? "rate_limited"
                                                                     : "ready";
        ++counts[upstream.record.service][state];
        running[upstream.record.service] += upstream.running;
        outstanding[upstream.record.service] += upstream.outstanding.sum;
    }
    for (auto const& [service, states] : counts)
    {
        for (auto const* state :
             {"draining", "leaving", "cold", "suspended", "loading", "rate_limited", "ready"})
        {
            auto const it = states.find(state);
            base::gauge_at(self.metrics, {"gateway_upstreams", "upstreams by service and state"},
                           {{"service", service}, {"state", state}})
                .value = it != states.end() ? it->second : 0;
        }
        base::gauge_at(self.metrics,
                       {"gateway_upstream_requests", "requests that upstreams work on for us"},
                       {{"service", service}})
            .value = running[service];
        base::gauge_at(self.metrics,
                       {"gateway_upstream_outstanding_work",
                        "expected events, or multiples of a mean request, not done yet"},
                       {{"service", service}})
            .value = outstanding[service];
        update_speed_gauges(self, service, now);
    }
}

void update_job_gauges(gateway& self)
{
    double waiting = 0;
    double unstored = 0;
    for (auto const& [id, job] : self.jobs)
    {
        waiting += static_cast<double>(
            std::count_if(job.samples.begin(), job.samples.end(),
                          [](rollout::sample_progress const& progress)
                          { return progress.phase == rollout::sample_phase::waiting; }));
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

void set_model_gauge(gateway& self, base::metric_name<base::metric_kind::gauge> name,
                     std::string_view model, double value)
{
    base::gauge_at(self.metrics, name, {{"model", std::string(model)}}).value = value;
}

void update_model_gauges_of(gateway& self, fleet::service const& service, base::mono_time now)
{
    // Only the leader knows the state of the loads; the others report 0.
    bool const leads = self.candidate.held.has_value();
    auto loads = leads ? duty::summarize_loads(self.weights, self.pool, self.needed_weights, now)
                       : duty::load_summaries{};
    std::size_t upstreams = 0;
    for (auto const& model : service.models)
    {
        upstreams += loads[model].assigned;
    }
    auto const demand =
        leads ? rollout::recent_demand(training_steps(self)) : rollout::model_demand{};
    for (auto const& [model, target] : duty::target_shares(service, upstreams, demand))
    {
        auto const& load = loads[model];
        set_model_gauge(self, {"gateway_model_share", "upstreams that a model has"}, model,
                        static_cast<double>(load.assigned));
        set_model_gauge(self,
                        {"gateway_model_target", "upstreams that a model should have by demand"},
                        model, target);
        set_model_gauge(
            self, {"gateway_model_usable", "upstreams of a model that can serve every open step"},
            model, static_cast<double>(load.usable));
        set_model_gauge(self, {"gateway_model_loading", "upstreams of a model that load weights"},
                        model, static_cast<double>(load.loading));
    }
}

void update_model_gauges(gateway& self, base::mono_time now)
{
    if (!self.configuration)
    {
        return;
    }
    for (auto const& service : self.configuration->services)
    {
        update_model_gauges_of(self, service, now);
    }
}

void set_refusal_gauge(gateway& self, std::string_view reason, std::uint64_t count)
{
    base::gauge_at(self.metrics,
                   {"gateway_callers_refused",
                    "connections that were shed or not accepted, and answers without room"},
                   {{"reason", reason}})
        .value = static_cast<double>(count);
}

void update_budget_gauges(gateway& self)
{
    set_gauge(self, {"gateway_held_bytes", "bytes of callers and upstreams that are held"},
              static_cast<double>(self.budgets.process->used_bytes));
    set_gauge(self, {"gateway_held_bytes_limit", "maximum of gateway_held_bytes"},
              static_cast<double>(self.budgets.process->max_bytes));
    set_gauge(self, {"gateway_large_request_bytes", "part of it that long requests hold"},
              static_cast<double>(self.budgets.large_requests->used_bytes));
    set_gauge(self, {"gateway_job_bytes", "part of it that running batch jobs hold"},
              static_cast<double>(self.budgets.jobs->used_bytes));
}

void update_caller_gauges(gateway& self)
{
    if (!self.callers)
    {
        return;
    }
    auto const& table = *self.callers->connections;
    set_gauge(self, {"gateway_caller_connections", "open connections of callers"},
              static_cast<double>(table.open.size()));
    for (auto const& [status, count] : table.refused.rejected)
    {
        base::gauge_at(self.metrics,
                       {"gateway_requests_rejected",
                        "requests that were answered before they were read to their end"},
                       {{"status", std::to_string(status)}})
            .value = static_cast<double>(count);
    }
    set_refusal_gauge(self, "shed", table.refused.shed);
    set_refusal_gauge(self, "not_accepted", table.refused.not_accepted);
    set_refusal_gauge(self, "dropped_answer", table.refused.dropped_responses);
}

} // namespace

void count_answer(gateway& self, std::string_view route, std::string_view outcome,
                  base::duration duration)
{
    add(counter_at(self.metrics, {"gateway_answers_total", "answers to callers by outcome"},
                   {{"route", route}, {"outcome", outcome}}));
    record(latency_at(self.metrics, {"gateway_answer_seconds", "time to the answer"},
                      {{"route", route}}),
           duration);
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

void count_crash_sighting(gateway& self, std::string_view outcome)
{
    add(counter_at(
        self.metrics,
        {"gateway_crash_sightings_total",
         "tries under which an upstream broke off, and requests refused because of that"},
        {{"outcome", outcome}}));
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

void count_permit_request(gateway& self, std::string_view outcome)
{
    add(counter_at(
        self.metrics,
        {"gateway_permit_requests_total", "requests for permits to send to rate-limited upstreams"},
        {{"outcome", outcome}}));
}

void count_run(gateway& self, std::string_view event)
{
    add(counter_at(self.metrics, {"gateway_sample_runs_total", "runs of samples by their end"},
                   {{"event", event}}));
}

void count_sample(gateway& self, bool done, base::duration duration)
{
    add(counter_at(self.metrics, {"gateway_samples_total", "listed samples"},
                   {{"state", done ? "done" : "given_up"}}));
    record(latency_at(self.metrics, {"gateway_sample_seconds",
                                     "time from a job's submission to a listed sample"}),
           duration);
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

store::client instrument_store(gateway& self, store::client const& inner)
{
    store::client instrumented;
    instrumented.read = [&self, call = inner.read](auto key, auto deadline, auto done)
    {
        call(std::move(key), deadline, instrument_done(self, "read", std::move(done)));
    };
    instrumented.list =
        [&self, call = inner.list](auto prefix, auto after, auto deadline, auto done)
    {
        call(std::move(prefix), std::move(after), deadline,
             instrument_done(self, "list", std::move(done)));
    };
    instrumented.commit_transaction =
        [&self, call = inner.commit_transaction](auto transaction, auto deadline, auto done)
    {
        call(std::move(transaction), deadline, instrument_done(self, "commit", std::move(done)));
    };
    instrumented.grant = [&self, call = inner.grant](auto length, auto deadline, auto done)
    {
        call(length, deadline, instrument_done(self, "grant", std::move(done)));
    };
    instrumented.renew = [&self, call = inner.renew](auto lease, auto deadline, auto done)
    {
        call(lease, deadline, instrument_done(self, "renew", std::move(done)));
    };
    instrumented.revoke = [&self, call = inner.revoke](auto lease, auto deadline, auto done)
    {
        call(lease, deadline, instrument_done(self, "revoke", std::move(done)));
    };
    return instrumented;
}

std::string exposition(gateway& self)
{
    auto const now = base::mono_now();
    update_job_gauges(self);
    update_upstream_gauges(self, now);
    update_model_gauges(self, now);
    set_gauge(self, {"gateway_response_bytes", "bytes of upstreams' responses that are held"},
              static_cast<double>(self.response_limits.budget->used_bytes));
    set_gauge(self, {"gateway_responses_too_large", "responses and texts given up for their size"},
              static_cast<double>(self.response_limits.budget->evictions));
    update_budget_gauges(self);
    update_caller_gauges(self);
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
