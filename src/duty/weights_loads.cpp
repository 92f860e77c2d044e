#include "duty/weights_loads.hpp"

#include <algorithm>
#include <cstdint>
#include <span>
#include <tuple>
#include <utility>

namespace gooseberrywood::duty
{

namespace
{

using fleet::version_of;

// Upstreams that load weights at the same time slow each other down. One in five may load at once,
// to the nearest number, or two if that is more.
constexpr std::size_t upstreams_per_load = 5;
constexpr std::size_t min_concurrent_loads = 2;

// The version with which every upstream starts.
constexpr std::uint32_t initial_version = 1;

// Delay after an order that failed.
constexpr base::duration retry_delay = std::chrono::milliseconds(300);

// A model whose upstreams are as urgent as others gets an order at least this often, even if the
// usable shares of the others are smaller.
constexpr base::duration max_turn_wait = 2 * typical_load_time;

enum class load_urgency : std::uint8_t
{
    too_old_for_all_steps,
    too_old_for_a_step,
    too_old_for_next_step,
    not_latest,
};

struct order_candidate
{
    weights_order order;
    load_urgency urgency = load_urgency::not_latest;
    /// Set when its model has open steps, of which the upstream can serve all that are known and
    /// the one of the latest version.
    bool is_deferrable = false;
    /// Time by which its last load had finished.
    base::mono_time loaded_at{};
    /// Number of requests in progress at the upstream.
    std::uint32_t running = 0;
};

/// State of a model while orders are selected.
struct model_turn
{
    base::mono_time ordered_at{};
    std::size_t assigned = 0;
    /// Upstreams that have or load a version that every open step accepts.
    std::size_t usable = 0;
};

using turn_map = std::map<std::string, model_turn, std::less<>>;

std::size_t max_concurrent_loads(std::size_t upstreams)
{
    return std::max(min_concurrent_loads,
                    (upstreams + upstreams_per_load / 2) / upstreams_per_load);
}

bool is_loading(upstream_assignment const& assignment, base::mono_time now)
{
    return assignment.busy || now < assignment.loaded_at;
}

/// Version of the assigned model that an upstream has: the listed one, or a newer one that it must
/// have loaded since. The list shows new weights with a delay of up to two seconds.
std::uint32_t loaded_version_of(upstream_assignment const& assignment,
                                fleet::upstream_record const& record, base::mono_time now)
{
    auto const listed = version_of(record.weights, assignment.model);
    bool const has_loaded = assignment.loaded_at != base::mono_time{} &&
                            now >= assignment.loaded_at && now < assignment.retry_at;
    return has_loaded ? std::max(listed, assignment.ordered_version) : listed;
}

needed_version needed_of(needed_versions const& needed, std::string_view model)
{
    auto const it = needed.find(model);
    return it != needed.end() ? it->second : needed_version{};
}

/// Oldest version that the next step is expected to accept. A trainer names version k and submits
/// step k, which accepts version k - 1. The records show the step later than the named version.
std::uint32_t needed_by_next_step(needed_version const& needed, std::uint32_t latest)
{
    bool const has_open_step = needed.every_step > 0;
    return has_open_step ? std::min(latest, std::max(needed.every_step + 1, latest - 1)) : latest;
}

load_urgency urgency_of(std::uint32_t loaded, needed_version const& needed, std::uint32_t latest)
{
    if (loaded < needed.any_step)
    {
        return load_urgency::too_old_for_all_steps;
    }
    if (loaded < needed.every_step)
    {
        return load_urgency::too_old_for_a_step;
    }
    return loaded < needed_by_next_step(needed, latest) ? load_urgency::too_old_for_next_step
                                                        : load_urgency::not_latest;
}

/// Whether an upstream that does not load now should get an order for the latest version.
bool may_order(upstream_assignment const& assignment, std::uint32_t loaded, std::uint32_t latest,
               base::mono_time now)
{
    return !is_loading(assignment, now) && !assignment.querying && now >= assignment.order_at &&
           latest > initial_version && loaded < latest &&
           (assignment.ordered_version < latest || now >= assignment.retry_at);
}

turn_map make_turns(weights_plan const& plan, fleet::pool const& pool,
                    needed_versions const& needed, base::mono_time now)
{
    turn_map turns;
    for (auto const& [model, summary] : summarize_loads(plan, pool, needed, now))
    {
        auto const it = plan.ordered_at.find(model);
        turns[model] = {it != plan.ordered_at.end() ? it->second : base::mono_time{},
                        summary.assigned, summary.usable + summary.loading_accepted};
    }
    return turns;
}

std::vector<order_candidate> find_candidates(weights_plan const& plan, fleet::pool const& pool,
                                             latest_versions const& latest,
                                             needed_versions const& needed, base::mono_time now)
{
    std::vector<order_candidate> candidates;
    for (auto const& [id, assignment] : plan.upstreams)
    {
        auto const it = pool.upstreams.find(id);
        if (it == pool.upstreams.end())
        {
            continue;
        }
        auto const wanted = version_of(latest, assignment.model);
        auto const loaded = loaded_version_of(assignment, it->second.record, now);
        if (may_order(assignment, loaded, wanted, now))
        {
            auto const versions = needed_of(needed, assignment.model);
            auto const urgency = urgency_of(loaded, versions, wanted);
            // The records show a step later than its version is named. An upstream that is too old
            // for the step of the latest version is not left.
            bool const is_deferrable = versions.every_step > 0 && loaded + 1 >= wanted &&
                                       urgency > load_urgency::too_old_for_a_step;
            candidates.push_back({{id, it->second.record.address, assignment.model, wanted,
                                   assignment.accepted.value_or(0)},
                                  urgency,
                                  is_deferrable,
                                  assignment.loaded_at,
                                  it->second.running});
        }
    }
    return candidates;
}

/// Sort key of a candidate; the least one is ordered next.
auto rank_of(order_candidate const& candidate, model_turn const& turn, base::mono_time now)
{
    bool const has_waited = now - turn.ordered_at >= max_turn_wait;
    // A model whose older steps stay open must not wait until they end.
    auto const urgency = has_waited && candidate.urgency == load_urgency::too_old_for_a_step
                             ? load_urgency::too_old_for_all_steps
                             : candidate.urgency;
    auto const usable_share =
        has_waited ? -1.0 : static_cast<double>(turn.usable) / static_cast<double>(turn.assigned);
    return std::tuple(urgency, usable_share, turn.ordered_at, candidate.loaded_at,
                      candidate.running);
}

/// Whether loading every version on every upstream would take more loads than may run.
bool is_saturated(weights_plan const& plan, needed_versions const& needed)
{
    double concurrent_loads = 0;
    for (auto const& [id, assignment] : plan.upstreams)
    {
        auto const interval = needed_of(needed, assignment.model).step_interval;
        if (interval > base::duration{})
        {
            concurrent_loads += static_cast<double>(typical_load_time.count()) /
                                static_cast<double>(interval.count());
        }
    }
    return concurrent_loads > static_cast<double>(max_concurrent_loads(plan.upstreams.size()));
}

/// Number of upstreams that may be ordered although they can serve all open steps. A saturated
/// leader leaves as many of them as may load at once. These skip a version: when the next step
/// finds them too old, they all load at once.
std::size_t max_early_orders(std::span<order_candidate const> candidates, weights_plan const& plan,
                             needed_versions const& needed)
{
    auto const deferrable = static_cast<std::size_t>(
        std::count_if(candidates.begin(), candidates.end(),
                      [](order_candidate const& candidate) { return candidate.is_deferrable; }));
    auto const kept = is_saturated(plan, needed) ? max_concurrent_loads(plan.upstreams.size()) : 0;
    return deferrable - std::min(deferrable, kept);
}

/// Limits of a selection of orders.
struct order_limits
{
    std::size_t orders = 0;
    /// Orders to upstreams that can serve all open steps.
    std::size_t early_orders = 0;
};

std::vector<weights_order> select_orders(std::vector<order_candidate> candidates, turn_map turns,
                                         order_limits limits, base::mono_time now)
{
    std::vector<weights_order> selected;
    while (selected.size() < limits.orders && !candidates.empty())
    {
        auto const best = std::min_element(candidates.begin(), candidates.end(),
                                           [&](order_candidate const& a, order_candidate const& b) {
                                               return rank_of(a, turns[a.order.model], now) <
                                                      rank_of(b, turns[b.order.model], now);
                                           });
        if (best->is_deferrable && limits.early_orders == 0)
        {
            std::erase_if(candidates,
                          [](order_candidate const& candidate) { return candidate.is_deferrable; });
            continue;
        }
        limits.early_orders -= best->is_deferrable ? 1 : 0;
        auto& turn = turns[best->order.model];
        turn.ordered_at = now;
        turn.usable += best->urgency <= load_urgency::too_old_for_a_step ? 1 : 0;
        selected.push_back(std::move(best->order));
        candidates.erase(best);
    }
    return selected;
}

/// Number of loads that may start now.
std::size_t free_loads(weights_plan const& plan, base::mono_time now)
{
    auto const loading = static_cast<std::size_t>(
        std::count_if(plan.upstreams.begin(), plan.upstreams.end(),
                      [&](auto const& entry) { return is_loading(entry.second, now); }));
    auto const max_loads = max_concurrent_loads(plan.upstreams.size());
    return max_loads - std::min(max_loads, loading);
}

} // namespace

void note_order_accepted(upstream_assignment& assignment, weights_order const& order,
                         base::mono_time now)
{
    assignment.ordered_version = order.version;
    assignment.loaded_at = now + typical_load_time;
    assignment.retry_at = assignment.loaded_at + report_delay;
}

void note_order_failed(upstream_assignment& assignment, base::mono_time now)
{
    assignment.accepted.reset();
    assignment.order_at = now + retry_delay;
}

std::vector<weights_order> due_orders(weights_plan const& plan, fleet::pool const& pool,
                                      latest_versions const& latest, needed_versions const& needed,
                                      base::mono_time now)
{
    auto candidates = find_candidates(plan, pool, latest, needed, now);
    order_limits const limits{free_loads(plan, now), max_early_orders(candidates, plan, needed)};
    return select_orders(std::move(candidates), make_turns(plan, pool, needed, now), limits, now);
}

bool urgent_loads_wait(weights_plan const& plan, fleet::pool const& pool,
                       latest_versions const& latest, needed_versions const& needed,
                       base::mono_time now)
{
    auto const candidates = find_candidates(plan, pool, latest, needed, now);
    auto const urgent =
        std::count_if(candidates.begin(), candidates.end(),
                      [](order_candidate const& candidate)
                      { return candidate.urgency <= load_urgency::too_old_for_a_step; });
    return static_cast<std::size_t>(urgent) > free_loads(plan, now);
}

std::vector<std::string> due_queries(weights_plan const& plan, latest_versions const& latest,
                                     base::mono_time now)
{
    auto const max_queries = max_concurrent_loads(plan.upstreams.size());
    std::size_t pending = 0;
    std::vector<std::string> due;
    for (auto const& [id, assignment] : plan.upstreams)
    {
        pending += assignment.querying ? 1 : 0;
        bool const is_due = !assignment.accepted && !assignment.querying &&
                            !is_loading(assignment, now) && now >= assignment.order_at &&
                            version_of(latest, assignment.model) > initial_version;
        if (is_due)
        {
            due.push_back(id);
        }
    }
    due.resize(std::min(due.size(), max_queries - std::min(max_queries, pending)));
    return due;
}

std::optional<base::mono_time> next_load_end(weights_plan const& plan, base::mono_time now)
{
    std::optional<base::mono_time> next;
    for (auto const& [id, assignment] : plan.upstreams)
    {
        if (assignment.loaded_at > now)
        {
            next = next ? std::min(*next, assignment.loaded_at) : assignment.loaded_at;
        }
    }
    return next;
}

load_summaries summarize_loads(weights_plan const& plan, fleet::pool const& pool,
                               needed_versions const& needed, base::mono_time now)
{
    load_summaries summaries;
    for (auto const& [id, assignment] : plan.upstreams)
    {
        auto const it = pool.upstreams.find(id);
        if (it == pool.upstreams.end())
        {
            continue;
        }
        auto& summary = summaries[assignment.model];
        bool const loads = is_loading(assignment, now);
        auto const least = needed_of(needed, assignment.model).every_step;
        bool const accepted = loaded_version_of(assignment, it->second.record, now) >= least;
        bool const orders_accepted = assignment.ordered_version >= least;
        summary.assigned += 1;
        summary.loading += loads ? 1 : 0;
        summary.loading_accepted += loads && (assignment.busy || orders_accepted) ? 1 : 0;
        summary.usable += !loads && accepted ? 1 : 0;
    }
    return summaries;
}

} // namespace gooseberrywood::duty
