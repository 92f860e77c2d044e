#include "duty/weights_plan.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace gooseberrywood::duty
{

namespace
{

using fleet::version_of;

// Upstreams that load at once slow each other; a fifth of them, at least two, may.
constexpr std::size_t loading_share = 5;
constexpr std::size_t least_loading = 2;

// The version that every upstream starts with.
constexpr std::uint32_t first_version = 1;

/// The model that an upstream visibly follows: of those that it has loaded, the one that lags
/// least.
std::string followed_model(fleet::upstream_record const& record, fleet::service const& of,
                           latest_versions const& named)
{
    std::string best;
    std::int64_t least_lag = 0;
    for (auto const& model : of.models)
    {
        auto const held = version_of(record.weights, model);
        auto const lag = std::int64_t{version_of(named, model)} - std::int64_t{held};
        if (held > first_version && (best.empty() || lag < least_lag))
        {
            best = model;
            least_lag = lag;
        }
    }
    return best;
}

/// Upstreams of a service by failure domain, so that neighbours in the list share one.
std::vector<fleet::upstream_record const*> upstreams_of(fleet::pool const& pool,
                                                        fleet::service const& of)
{
    std::vector<fleet::upstream_record const*> found;
    for (auto const& [id, one] : pool.upstreams)
    {
        if (one.record.service == of.name && !one.record.draining)
        {
            found.push_back(&one.record);
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](auto const* a, auto const* b) { return a->domain < b->domain; });
    return found;
}

void forget_gone(weights_plan& plan, fleet::pool const& pool)
{
    for (auto at = plan.upstreams.begin(); at != plan.upstreams.end();)
    {
        auto const known = pool.upstreams.find(at->first);
        bool const gone = known == pool.upstreams.end() || known->second.record.draining;
        at = gone ? plan.upstreams.erase(at) : std::next(at);
    }
}

// A share that is off by this many upstreams is corrected; smaller differences are chance.
constexpr double worth_moving = 1.5;

/// How many upstreams a model has and should have.
struct share
{
    double wanted = 0;
    std::vector<upstream_assignment*> taken;
};

double missing(share const& of)
{
    return of.wanted - static_cast<double>(of.taken.size());
}

using shares = std::map<std::string, share>;

shares wanted_shares(fleet::service const& service, std::size_t upstreams,
                     rollout::model_demand const& demand)
{
    double known = 0;
    double sum = 0;
    for (auto const& model : service.models)
    {
        auto const at = demand.find(model);
        known += at != demand.end() ? 1 : 0;
        sum += at != demand.end() ? at->second : 0;
    }
    auto const usual = sum > 0 ? sum / known : 1;
    auto const total = sum + usual * (static_cast<double>(service.models.size()) - known);
    shares wanted;
    for (auto const& model : service.models)
    {
        auto const at = demand.find(model);
        auto const part = (at != demand.end() && sum > 0 ? at->second : usual) / total;
        wanted[model].wanted = part * static_cast<double>(upstreams);
    }
    return wanted;
}

bool keep(upstream_assignment& of, fleet::upstream_record const& record,
          fleet::service const& service, latest_versions const& named, shares& used)
{
    auto const model = of.model.empty() ? followed_model(record, service, named) : of.model;
    auto const at = used.find(model);
    if (at == used.end())
    {
        return false;
    }
    of.model = model;
    at->second.taken.push_back(&of);
    return true;
}

shares::iterator most_missing(shares& of)
{
    return std::max_element(of.begin(), of.end(),
                            [](auto const& a, auto const& b)
                            { return missing(a.second) < missing(b.second); });
}

shares::iterator least_missing(shares& of)
{
    return std::min_element(of.begin(), of.end(),
                            [](auto const& a, auto const& b)
                            { return missing(a.second) < missing(b.second); });
}

void give(shares::iterator to, upstream_assignment* which)
{
    which->model = to->first;
    to->second.taken.push_back(which);
}

bool is_off(shares& of)
{
    return missing(most_missing(of)->second) >= worth_moving ||
           -missing(least_missing(of)->second) >= worth_moving;
}

/// Moves upstreams until all shares are as near as they can be, if one is off by much.
void rebalance(shares& used)
{
    if (!is_off(used))
    {
        return;
    }
    for (;;)
    {
        auto const to = most_missing(used);
        auto const from = least_missing(used);
        // A move must not only turn the difference round.
        bool const helps = missing(to->second) - missing(from->second) > 1;
        if (!helps || from->second.taken.empty())
        {
            return;
        }
        auto* const moved = from->second.taken.back();
        from->second.taken.pop_back();
        give(to, moved);
    }
}

void assign_service(weights_plan& plan, fleet::pool const& pool, fleet::service const& service,
                    latest_versions const& named, rollout::model_demand const& demand)
{
    auto const upstreams = upstreams_of(pool, service);
    auto used = wanted_shares(service, upstreams.size(), demand);
    std::vector<upstream_assignment*> unassigned;
    for (auto const* record : upstreams)
    {
        auto& known = plan.upstreams[record->id];
        if (known.started_ms != record->started_ms)
        {
            auto model = std::move(known.model);
            known = {};
            known.model = std::move(model);
            known.started_ms = record->started_ms;
        }
        if (!keep(known, *record, service, named, used))
        {
            unassigned.push_back(&known);
        }
    }
    for (auto* const one : unassigned)
    {
        give(most_missing(used), one);
    }
    rebalance(used);
}

bool is_loading(upstream_assignment const& of, base::mono_time now)
{
    return of.busy || now < of.loaded_at;
}

struct due_order
{
    weights_order order;
    /// A running job can't use the upstream as it is.
    bool is_urgent = false;
    /// Requests that the upstream works on.
    std::uint32_t running = 0;
};

std::vector<weights_order> pick_orders(std::vector<due_order> due,
                                       std::map<std::string, base::mono_time> ordered_at,
                                       std::size_t most, base::mono_time now)
{
    std::vector<weights_order> picked;
    while (picked.size() < most && !due.empty())
    {
        auto const best = std::min_element(
            due.begin(), due.end(),
            [&](due_order const& a, due_order const& b)
            {
                return std::tuple(!a.is_urgent, ordered_at[a.order.model], a.running) <
                       std::tuple(!b.is_urgent, ordered_at[b.order.model], b.running);
            });
        ordered_at[best->order.model] = now;
        picked.push_back(std::move(best->order));
        due.erase(best);
    }
    return picked;
}

} // namespace

void assign_models(weights_plan& plan, fleet::pool const& pool, fleet::configuration const& in,
                   latest_versions const& named, rollout::model_demand const& demand)
{
    forget_gone(plan, pool);
    for (auto const& service : in.services)
    {
        if (!service.models.empty())
        {
            assign_service(plan, pool, service, named, demand);
        }
    }
}

fleet::model_shares shares_of(weights_plan const& plan)
{
    fleet::model_shares shares;
    for (auto const& [id, one] : plan.upstreams)
    {
        shares[id] = one.model;
    }
    return shares;
}

weights_plan restore_plan(fleet::model_shares const& shares, fleet::pool const& pool)
{
    weights_plan plan;
    for (auto const& [id, model] : shares)
    {
        auto const at = pool.upstreams.find(id);
        if (at != pool.upstreams.end())
        {
            auto& known = plan.upstreams[id];
            known.model = model;
            known.started_ms = at->second.record.started_ms;
        }
    }
    return plan;
}

std::vector<weights_order> due_orders(weights_plan const& plan, fleet::pool const& pool,
                                      latest_versions const& named,
                                      fleet::weight_versions const& needed, base::mono_time now)
{
    std::size_t loading = 0;
    std::vector<due_order> due;
    for (auto const& [id, known] : plan.upstreams)
    {
        auto const at = pool.upstreams.find(id);
        if (at == pool.upstreams.end())
        {
            continue;
        }
        auto const wanted = version_of(named, known.model);
        auto const held = version_of(at->second.record.weights, known.model);
        bool const holds = held >= wanted;
        bool const is_urgent = held < version_of(needed, known.model);
        if (is_loading(known, now))
        {
            ++loading;
        }
        bool const may_order = !is_loading(known, now) && wanted > first_version && !holds &&
                               (known.ordered_version < wanted || now >= known.retry_at);
        if (may_order)
        {
            due.push_back(
                {{id, at->second.record.address, known.model, wanted, known.accepted.value_or(0)},
                 is_urgent,
                 at->second.running});
        }
    }
    auto const most = std::max(least_loading, plan.upstreams.size() / loading_share);
    return pick_orders(std::move(due), plan.ordered_at, most - std::min(most, loading), now);
}

} // namespace gooseberrywood::duty
