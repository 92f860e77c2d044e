#include "gateway/sample_plan.hpp"

#include "base/log.hpp"
#include "fleet/model_capacity.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <string_view>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

using rollout::sample_phase;

// Least share of a job's work that is left until its caller ends it. A job that is late still
// occupies some engines.
constexpr double min_share_left = 0.1;

// Incomplete groups come again in the next step, mostly within seconds.
constexpr base::duration unfinished_group_retention = std::chrono::seconds(30);

constexpr auto no_group = std::numeric_limits<std::size_t>::max();

/// Engines of one model, with what is needed to estimate the lengths of its samples.
struct planned_engines
{
    std::string_view service;
    std::string_view model;
    std::uint32_t tokens_per_event = 1;
    rollout::length_estimate const* lengths = nullptr;
};

struct planned_job
{
    owned_job* job = nullptr;
    /// Index into the groups of the input for each group; `no_group` when it is complete.
    std::vector<std::size_t> groups;
};

/// Input of a plan, and what its indexes refer to.
struct plan_builder
{
    gateway& self;
    base::mono_time now;
    rollout::group_plan_input input;
    std::vector<planned_engines> engines;
    std::vector<planned_job> jobs;
    /// By sample of the input: its job and its index there.
    std::vector<std::pair<owned_job*, std::size_t>> samples;
};

std::uint32_t tokens_per_event(gateway const& self, std::string_view service)
{
    auto const* const found = fleet::find_service(*self.configuration, service);
    return found != nullptr ? found->tokens_per_event : fleet::service{}.tokens_per_event;
}

rollout::length_estimate const& lengths_of(gateway const& self, std::string_view model)
{
    static rollout::length_estimate const none;
    auto const it = self.planning.lengths.find(model);
    return it != self.planning.lengths.end() ? it->second : none;
}

double hinted_events(rollout::sample_spec const& spec, std::uint32_t tokens_per_event)
{
    return static_cast<double>(spec.expected_tokens) / tokens_per_event;
}

/// Finds or adds the engines that run a sample.
/// \returns their index.
std::size_t engines_for(plan_builder& plan, fleet::route const& route,
                        rollout::sample_spec const& spec)
{
    auto const& service = fleet::service_for_request(route, spec.id);
    auto const it =
        std::find_if(plan.engines.begin(), plan.engines.end(),
                     [&](planned_engines const& engines)
                     { return engines.service == service && engines.model == spec.model; });
    if (it != plan.engines.end())
    {
        return static_cast<std::size_t>(it - plan.engines.begin());
    }
    plan.engines.push_back({service, spec.model, tokens_per_event(plan.self, service),
                            &lengths_of(plan.self, spec.model)});
    auto const capacity = fleet::capacity_for(plan.self.pool, service, spec.model, plan.now);
    plan.input.engines.push_back(
        {capacity.slots, capacity.event_time, capacity.fastest_event_time});
    return plan.engines.size() - 1;
}

void add_groups(plan_builder& plan, owned_job& job, fleet::route const& route)
{
    struct group_state
    {
        bool is_open = false;
        bool has_failed = false;
        std::size_t first_sample = no_group;
    };
    std::vector<group_state> states(job.groups.size());
    for (std::size_t i = 0; i < job.samples.size(); ++i)
    {
        auto& state = states[job.group_of_sample[i]];
        state.is_open = state.is_open || job.samples[i].phase < sample_phase::finished;
        state.has_failed = state.has_failed || job.samples[i].given_up;
        state.first_sample = std::min(state.first_sample, i);
    }
    auto& open_job = plan.input.jobs.emplace_back();
    open_job = {job.due,
                job.give_up_at,
                route.priority,
                states.size(),
                std::min(job.spec.desired_groups.value_or(states.size()), states.size()),
                0,
                job.carried_groups};
    auto& groups = plan.jobs.emplace_back(planned_job{&job, {}}).groups;
    groups.resize(states.size(), no_group);
    for (std::size_t i = 0; i < states.size(); ++i)
    {
        auto const& state = states[i];
        if (!state.is_open)
        {
            open_job.complete += state.has_failed ? 0 : 1;
            continue;
        }
        groups[i] = plan.input.groups.size();
        plan.input.groups.push_back({plan.input.jobs.size() - 1,
                                     engines_for(plan, route, job.spec.samples[state.first_sample]),
                                     i, state.has_failed});
    }
}

/// \param event_time time between two events on the engine that runs the sample; 0 while it waits.
void add_sample(plan_builder& plan, planned_job const& planned, std::size_t index,
                base::duration event_time)
{
    auto& job = *planned.job;
    auto const& progress = job.samples[index];
    auto const group = planned.groups[job.group_of_sample[index]];
    auto const& engines = plan.engines[plan.input.groups[group].engines];
    bool const may_start = event_time == base::duration{} && plan.now >= progress.not_before;
    plan.input.samples.push_back(
        {group,
         rollout::events_left(*engines.lengths,
                              hinted_events(job.spec.samples[index], engines.tokens_per_event),
                              progress.events),
         event_time, may_start});
    plan.samples.emplace_back(&job, index);
}

void add_waiting_samples(plan_builder& plan, planned_job const& planned)
{
    for (std::size_t i = 0; i < planned.job->samples.size(); ++i)
    {
        if (planned.job->samples[i].phase == sample_phase::waiting)
        {
            add_sample(plan, planned, i, {});
        }
    }
}

void add_running_samples(plan_builder& plan)
{
    for (auto const& entry : plan.self.runs)
    {
        auto const& run = entry.second;
        auto const it = std::find_if(plan.jobs.begin(), plan.jobs.end(),
                                     [&](planned_job const& planned)
                                     { return planned.job->record.id == run.job_id; });
        if (it == plan.jobs.end() || it->job->samples[run.index].phase != sample_phase::running)
        {
            continue;
        }
        auto const group = it->groups[it->job->group_of_sample[run.index]];
        auto event_time = plan.input.engines[plan.input.groups[group].engines].event_time;
        auto const* const upstream = fleet::find_upstream(plan.self.pool, run.upstream);
        if (upstream != nullptr && upstream->event_time.us > 0)
        {
            event_time = base::duration(static_cast<std::int64_t>(upstream->event_time.us));
        }
        add_sample(plan, *it, run.index, event_time);
    }
}

/// Reduces the capacity by the share that jobs of other processes use: all owners of jobs of a
/// model plan for the same engines and do not know each other's plans.
void subtract_foreign_work(plan_builder& plan)
{
    std::vector<double> own_tokens(plan.engines.size());
    for (auto const& sample : plan.input.samples)
    {
        auto const engines = plan.input.groups[sample.group].engines;
        own_tokens[engines] += sample.events_left * plan.engines[engines].tokens_per_event;
    }
    for (std::size_t i = 0; i < plan.engines.size(); ++i)
    {
        auto const foreign = plan.self.planning.foreign_tokens.find(plan.engines[i].model);
        if (foreign != plan.self.planning.foreign_tokens.end() && own_tokens[i] > 0)
        {
            plan.input.engines[i].slots *= own_tokens[i] / (own_tokens[i] + foreign->second);
        }
    }
}

plan_builder collect_work(gateway& self, base::mono_time now)
{
    plan_builder plan{self, now, {}, {}, {}, {}};
    for (auto& [id, job] : self.jobs)
    {
        if (auto const* const route = route_of(self, job.record))
        {
            add_groups(plan, job, *route);
            add_waiting_samples(plan, plan.jobs.back());
        }
    }
    add_running_samples(plan);
    subtract_foreign_work(plan);
    return plan;
}

/// Logs the groups that can't be complete by their due time whatever is started.
void report_late_groups(plan_builder const& builder, rollout::group_plan const& plan)
{
    for (auto const& planned : builder.jobs)
    {
        auto& job = *planned.job;
        for (std::size_t i = 0; i < planned.groups.size(); ++i)
        {
            auto const group = planned.groups[i];
            if (group == no_group || job.groups[i].is_reported_late ||
                (plan.earliest_ends[group] <= job.due && !builder.input.groups[group].has_failed))
            {
                continue;
            }
            job.groups[i].is_reported_late = true;
            base::log_line(
                base::log_level::info, "group_late",
                {{"job", job.record.id},
                 {"group", job.groups[i].id},
                 {"rank", rollout::group_rank_names[static_cast<std::size_t>(plan.ranks[group])]},
                 {"failed", std::int64_t{builder.input.groups[group].has_failed}},
                 {"due_in_us", (job.due - builder.now).count()},
                 {"expected_late_us", (plan.earliest_ends[group] - job.due).count()}});
        }
    }
}

} // namespace

std::vector<planned_sample> plan_samples(gateway& self, base::mono_time now)
{
    auto const builder = collect_work(self, now);
    auto const plan = rollout::plan_groups(builder.input, now);
    report_late_groups(builder, plan);
    std::vector<planned_sample> ordered;
    ordered.reserve(plan.order.size());
    for (auto const sample : plan.order)
    {
        auto const& [job, index] = builder.samples[sample];
        ordered.push_back({job, index, plan.ranks[builder.input.samples[sample].group]});
    }
    return ordered;
}

void count_waiting_by_rank(gateway& self, std::span<planned_sample const> plan)
{
    self.planning.waiting_by_rank.fill(0);
    for (auto const& sample : plan)
    {
        if (sample.job->samples[sample.index].phase == sample_phase::waiting)
        {
            ++self.planning.waiting_by_rank[static_cast<std::size_t>(sample.rank)];
        }
    }
}

void remember_unfinished_groups(gateway& self, owned_job const& job)
{
    auto const now = base::mono_now();
    auto& known = self.planning.unfinished_groups;
    std::erase_if(known, [&](auto const& entry) { return entry.second <= now; });
    for (std::size_t i = 0; i < job.samples.size(); ++i)
    {
        if (job.samples[i].phase < sample_phase::finished || job.samples[i].given_up)
        {
            known[job.groups[job.group_of_sample[i]].id] = now + unfinished_group_retention;
        }
    }
}

std::size_t count_carried_groups(gateway const& self, owned_job const& job)
{
    auto const is_known = [&](owned_group const& group)
    {
        return self.planning.unfinished_groups.contains(group.id);
    };
    // Groups of an earlier step stand before all others.
    auto const last = std::find_if(job.groups.rbegin(), job.groups.rend(), is_known);
    return static_cast<std::size_t>(job.groups.rend() - last);
}

void update_foreign_work(gateway& self)
{
    self.planning.foreign_tokens.clear();
    if (self.jobs.empty())
    {
        return;
    }
    auto const now = base::wall_now();
    for (auto const& [id, stored] : self.shared.records)
    {
        auto const& record = stored.record;
        if (record.ended || self.jobs.contains(id))
        {
            continue;
        }
        auto const* const route = route_of(self, record);
        base::duration const age((now - record.submitted_at).count());
        if (route == nullptr || age >= route->retention)
        {
            continue;
        }
        auto const run_target = std::max(route->run_target, base::duration(1));
        auto const share_left =
            1 - std::chrono::duration<double>(age) / std::chrono::duration<double>(run_target);
        self.planning.foreign_tokens[record.model] += static_cast<double>(record.expected_tokens) *
                                                      std::clamp(share_left, min_share_left, 1.0);
    }
}

double expected_events_left(gateway const& self, owned_job const& job, std::size_t index)
{
    auto const& spec = job.spec.samples[index];
    auto const* const route = route_of(self, job.record);
    auto const stride = route != nullptr
                            ? tokens_per_event(self, fleet::service_for_request(*route, spec.id))
                            : fleet::service{}.tokens_per_event;
    return rollout::events_left(lengths_of(self, spec.model), hinted_events(spec, stride),
                                job.samples[index].events);
}

void note_sample_length(gateway& self, owned_job const& job, std::size_t index)
{
    auto const& spec = job.spec.samples[index];
    auto const* const route = route_of(self, job.record);
    if (route == nullptr)
    {
        return;
    }
    auto const stride = tokens_per_event(self, fleet::service_for_request(*route, spec.id));
    rollout::note_length(self.planning.lengths[spec.model], hinted_events(spec, stride),
                         job.samples[index].events);
}

} // namespace gooseberrywood::gateway
