#include "duty/weights_plan.hpp"

#include <algorithm>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>

namespace gooseberrywood::duty
{

namespace
{

using fleet::version_of;

// The version with which every upstream starts.
constexpr std::uint32_t initial_version = 1;

/// The model that an upstream appears to be assigned to: among the models of which it has loaded a
/// version after the initial one, the one whose loaded version lags least behind the latest.
/// Empty if it has loaded no such version.
std::string inferred_model(fleet::upstream_record const& record, fleet::service const& service,
                           latest_versions const& latest)
{
    std::string best;
    std::int64_t min_lag = 0;
    for (auto const& model : service.models)
    {
        auto const loaded_version = version_of(record.weights, model);
        auto const lag = std::int64_t{version_of(latest, model)} - std::int64_t{loaded_version};
        if (loaded_version > initial_version && (best.empty() || lag < min_lag))
        {
            best = model;
            min_lag = lag;
        }
    }
    return best;
}

/// Upstreams of a service, sorted by failure domain so that each model gets upstreams in all
/// domains.
std::vector<fleet::upstream const*> upstreams_of(fleet::pool const& pool,
                                                 fleet::service const& service)
{
    std::vector<fleet::upstream const*> found;
    for (auto const& [id, upstream] : pool.upstreams)
    {
        if (upstream.record.service == service.name && !upstream.record.draining &&
            !upstream.leaving)
        {
            found.push_back(&upstream);
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](auto const* a, auto const* b)
                     { return a->record.domain < b->record.domain; });
    return found;
}

/// Erases the upstreams that are draining or no longer in the pool.
void erase_unavailable(weights_plan& plan, fleet::pool const& pool)
{
    for (auto it = plan.upstreams.begin(); it != plan.upstreams.end();)
    {
        auto const listed = pool.upstreams.find(it->first);
        bool const is_unavailable = listed == pool.upstreams.end() ||
                                    listed->second.record.draining || listed->second.leaving;
        it = is_unavailable ? plan.upstreams.erase(it) : std::next(it);
    }
}

// Deviation of a share from its target, in upstreams, that triggers a rebalancing; smaller ones are
// random variation.
constexpr double rebalance_threshold = 1.5;

// Time between two steps of a model while it is unknown: the usual one.
constexpr base::duration default_step_interval = std::chrono::milliseconds(4000);

/// An upstream in the share of a model.
struct assigned_upstream
{
    upstream_assignment* assignment = nullptr;
    /// Number of requests of this process in progress there.
    std::uint32_t running = 0;
};

/// Share of a model in the upstreams of a service.
struct model_share
{
    /// Number of upstreams that the model should have.
    double target = 0;
    /// Upstreams that the model has.
    std::vector<assigned_upstream> assigned;
};

double deficit(model_share const& share)
{
    return share.target - static_cast<double>(share.assigned.size());
}

using share_map = std::map<std::string, model_share>;

share_map make_shares(fleet::service const& service, std::size_t upstreams,
                      rollout::model_demand const& demand)
{
    share_map shares;
    for (auto const& [model, target] : target_shares(service, upstreams, demand))
    {
        shares[model].target = target;
    }
    return shares;
}

/// Keeps an upstream assigned to its model or, if it has none in the plan, assigns it to the model
/// that it appears to be assigned to, and counts it in the share of that model. Returns false,
/// without a change, if the service has no such model.
bool keep_assignment(upstream_assignment& assignment, fleet::upstream const& upstream,
                     fleet::service const& service, latest_versions const& latest,
                     share_map& shares)
{
    auto const model = assignment.model.empty() ? inferred_model(upstream.record, service, latest)
                                                : assignment.model;
    auto const it = shares.find(model);
    if (it == shares.end())
    {
        return false;
    }
    assignment.model = model;
    it->second.assigned.push_back({&assignment, upstream.running});
    return true;
}

share_map::iterator largest_deficit(share_map& shares)
{
    return std::max_element(shares.begin(), shares.end(),
                            [](auto const& a, auto const& b)
                            { return deficit(a.second) < deficit(b.second); });
}

share_map::iterator smallest_deficit(share_map& shares)
{
    return std::min_element(shares.begin(), shares.end(),
                            [](auto const& a, auto const& b)
                            { return deficit(a.second) < deficit(b.second); });
}

void assign(share_map::iterator share, assigned_upstream upstream)
{
    auto* const assignment = upstream.assignment;
    if (assignment->model != share->first)
    {
        assignment->model = share->first;
        // Versions of another model say nothing about what this one needs.
        assignment->ordered_version = 0;
        assignment->retry_at = {};
    }
    share->second.assigned.push_back(upstream);
}

bool needs_rebalancing(share_map& shares)
{
    return deficit(largest_deficit(shares)->second) >= rebalance_threshold ||
           -deficit(smallest_deficit(shares)->second) >= rebalance_threshold;
}

/// Removes the upstream that is moved first from a share: the least busy one, then the one with the
/// oldest load. Returns nothing if none may be moved.
std::optional<assigned_upstream> take_movable(model_share& share, base::mono_time now)
{
    auto const is_movable = [&](assigned_upstream const& upstream)
    {
        return !upstream.assignment->busy && now >= upstream.assignment->stays_until;
    };
    auto const rank_of = [&](assigned_upstream const& upstream)
    {
        return std::tuple(!is_movable(upstream), upstream.running, upstream.assignment->loaded_at);
    };
    auto const first =
        std::min_element(share.assigned.begin(), share.assigned.end(),
                         [&](auto const& a, auto const& b) { return rank_of(a) < rank_of(b); });
    if (first == share.assigned.end() || !is_movable(*first))
    {
        return std::nullopt;
    }
    auto const taken = *first;
    share.assigned.erase(first);
    return taken;
}

base::duration step_interval_of(move_conditions const& conditions, std::string_view model)
{
    auto const it = conditions.intervals.find(model);
    return it != conditions.intervals.end() ? it->second : default_step_interval;
}

/// If a share deviates from its target by at least the threshold, moves upstreams until all shares
/// are as close to their targets as possible.
void rebalance(share_map& shares, move_conditions const& conditions)
{
    if (!needs_rebalancing(shares))
    {
        return;
    }
    for (;;)
    {
        auto const target = largest_deficit(shares);
        auto const source = smallest_deficit(shares);
        // A move brings two shares closer to their targets only if their deficits differ by more
        // than one upstream.
        bool const is_improvement = deficit(target->second) - deficit(source->second) > 1;
        bool const may_move = !conditions.urgent_loads_wait || target->second.assigned.empty();
        auto const moved = is_improvement && may_move ? take_movable(source->second, conditions.now)
                                                      : std::nullopt;
        if (!moved)
        {
            return;
        }
        assign(target, *moved);
        moved->assignment->stays_until =
            conditions.now + step_interval_of(conditions, target->first);
    }
}

void assign_service(weights_plan& plan, fleet::pool const& pool, fleet::service const& service,
                    latest_versions const& latest, rollout::model_demand const& demand,
                    move_conditions const& conditions)
{
    auto const upstreams = upstreams_of(pool, service);
    auto shares = make_shares(service, upstreams.size(), demand);
    std::vector<assigned_upstream> unassigned;
    for (auto const* upstream : upstreams)
    {
        auto const* const record = &upstream->record;
        auto& assignment = plan.upstreams[record->id];
        if (assignment.started_ms != record->started_ms)
        {
            // The upstream has restarted: it keeps its model, but the state of its orders is reset.
            auto model = std::move(assignment.model);
            assignment = {};
            assignment.model = std::move(model);
            assignment.started_ms = record->started_ms;
        }
        if (!keep_assignment(assignment, *upstream, service, latest, shares))
        {
            unassigned.push_back({&assignment, upstream->running});
        }
    }
    for (auto const& upstream : unassigned)
    {
        assign(largest_deficit(shares), upstream);
    }
    rebalance(shares, conditions);
}

/// Continues with a load that an earlier leader has announced, so that the upstream is neither
/// ordered again nor missing from the number of concurrent loads.
void restore_load(upstream_assignment& assignment, fleet::announced_weights const& announced)
{
    if (announced.model == assignment.model)
    {
        assignment.ordered_version = announced.version;
        assignment.loaded_at = announced.loaded_at;
        assignment.retry_at = announced.loaded_at + report_delay;
    }
}

} // namespace

void assign_models(weights_plan& plan, fleet::pool const& pool,
                   fleet::configuration const& configuration, latest_versions const& latest,
                   rollout::model_demand const& demand, move_conditions const& conditions)
{
    erase_unavailable(plan, pool);
    for (auto const& service : configuration.services)
    {
        if (!service.models.empty())
        {
            assign_service(plan, pool, service, latest, demand, conditions);
        }
    }
}

std::map<std::string, double, std::less<>> target_shares(fleet::service const& service,
                                                         std::size_t upstreams,
                                                         rollout::model_demand const& demand)
{
    double known_models = 0;
    double sum = 0;
    for (auto const& model : service.models)
    {
        auto const it = demand.find(model);
        known_models += it != demand.end() ? 1 : 0;
        sum += it != demand.end() ? it->second : 0;
    }
    auto const mean = sum > 0 ? sum / known_models : 1;
    auto const total = sum + mean * (static_cast<double>(service.models.size()) - known_models);
    std::map<std::string, double, std::less<>> targets;
    for (auto const& model : service.models)
    {
        auto const it = demand.find(model);
        auto const fraction = (it != demand.end() && sum > 0 ? it->second : mean) / total;
        targets[model] = fraction * static_cast<double>(upstreams);
    }
    return targets;
}

fleet::model_shares shares_of(weights_plan const& plan)
{
    fleet::model_shares shares;
    for (auto const& [id, assignment] : plan.upstreams)
    {
        shares[id] = assignment.model;
    }
    return shares;
}

weights_plan restore_plan(fleet::model_shares const& shares, fleet::pool const& pool)
{
    weights_plan plan;
    for (auto const& [id, model] : shares)
    {
        auto const it = pool.upstreams.find(id);
        if (it != pool.upstreams.end())
        {
            auto& assignment = plan.upstreams[id];
            assignment.model = model;
            assignment.started_ms = it->second.record.started_ms;
            restore_load(assignment, it->second.announced);
        }
    }
    return plan;
}

} // namespace gooseberrywood::duty
