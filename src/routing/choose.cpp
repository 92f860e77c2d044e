#include "routing/choose.hpp"

#include "routing/detail/mix.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace gooseberrywood::routing
{

namespace
{

/// Random draws before all candidates with credit are scanned. A draw fails only on an upstream
/// that was tried before or, for a suspect, on one that may run another suspect; both are few.
constexpr int max_random_draws = 8;

bool is_usable(upstream_state const& upstream, std::uint32_t index, choice_request const& request,
               base::mono_time now)
{
    if (upstream.with_credit_position == upstream_state::not_listed)
    {
        return false;
    }
    if (request.suspect && now < upstream.suspect_until)
    {
        return false;
    }
    return std::ranges::find(request.tried, index, &upstream_id::index) == request.tried.end();
}

bool is_within_load_bound(route_candidates const& route, upstream_state const& upstream)
{
    auto const mean = static_cast<double>(route.total_load) /
                      static_cast<double>(std::max<std::uint64_t>(route.total_limit, 1));
    auto const bound = std::max(1.0, load_bound * mean * upstream.counted_limit);
    return upstream.counted_load <= bound;
}

bool has_shorter_wait(upstream_state const& a, upstream_state const& b)
{
    // An upstream without completions has no latency yet; then only the loads are compared, since a
    // latency of zero would attract all requests.
    auto const known = a.latency_us > 0 && b.latency_us > 0;
    auto const wait = [known](upstream_state const& upstream)
    {
        auto const latency = known ? static_cast<double>(upstream.latency_us) : 1.0;
        // An idle upstream has no wait, whatever its latency. Otherwise the one with the highest
        // latency would lose every comparison at light load, and its outdated report would never be
        // replaced.
        return upstream.counted_load * latency / std::max(upstream.counted_limit, 1U);
    };
    return wait(a) < wait(b);
}

/// Search for the usable candidate nearest to a prefix whose load is within the bound.
struct prefix_search
{
    upstream_table const& table;
    route_candidates const& route;
    choice_request const& request;
    base::mono_time now;
    std::uint64_t best_distance = std::numeric_limits<std::uint64_t>::max();
    std::optional<std::uint32_t> best{};

    void consider(std::uint32_t index, std::uint64_t distance)
    {
        if (best && best_distance <= distance)
        {
            return;
        }
        auto const& upstream = table.upstreams[index];
        if (is_usable(upstream, index, request, now) && is_within_load_bound(route, upstream))
        {
            best = index;
            best_distance = distance;
        }
    }
};

std::optional<std::uint32_t> choose_by_prefix(upstream_table const& table,
                                              route_candidates const& route,
                                              choice_request const& request, base::mono_time now)
{
    if (route.ring.empty())
    {
        return std::nullopt;
    }
    prefix_search search{table, route, request, now};
    std::array<std::uint64_t, ring_probes> probes{};
    auto const is_exact = route.ring.size() <= rendezvous_max_candidates;
    if (!is_exact)
    {
        auto probe = *request.prefix;
        for (auto& ring_probe : probes)
        {
            ring_probe = probe = detail::mix(probe);
        }
    }
    auto const distance = [&](std::uint64_t point)
    {
        if (is_exact)
        {
            return detail::mix(point ^ *request.prefix);
        }
        auto nearest = point - probes[0];
        for (auto const probe : probes)
        {
            nearest = std::min(nearest, point - probe);
        }
        return nearest;
    };
    for (auto const& id : request.hinted)
    {
        auto const* upstream = find_upstream(table, id);
        if (upstream != nullptr && &table.routes[upstream->route] == &route)
        {
            search.consider(id.index, distance(upstream->point) / hint_gain);
        }
    }
    if (is_exact)
    {
        for (auto const& [point, index] : route.ring)
        {
            search.consider(index, distance(point));
        }
        return search.best;
    }
    for (auto const probe : probes)
    {
        auto next = std::ranges::lower_bound(route.ring, probe, {}, &ring_point::point);
        if (next == route.ring.end())
        {
            next = route.ring.begin();
        }
        search.consider(next->upstream, next->point - probe);
    }
    return search.best;
}

std::optional<std::uint32_t> choose_by_wait(upstream_table const& table,
                                            route_candidates const& route,
                                            choice_request const& request, base::mono_time now,
                                            std::mt19937_64& random)
{
    if (route.with_credit.empty())
    {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> random_position(0, route.with_credit.size() - 1);
    std::optional<std::uint32_t> first;
    std::optional<std::uint32_t> second;
    auto const add_candidate = [&](std::uint32_t index)
    {
        if (index != first && is_usable(table.upstreams[index], index, request, now))
        {
            (first ? second : first) = index;
        }
    };
    for (int i = 0; i < max_random_draws && !second; ++i)
    {
        add_candidate(route.with_credit[random_position(random)]);
    }
    if (!first)
    {
        auto const offset = random_position(random);
        for (std::size_t i = 0; i < route.with_credit.size() && !second; ++i)
        {
            add_candidate(route.with_credit[(offset + i) % route.with_credit.size()]);
        }
    }
    if (second && has_shorter_wait(table.upstreams[*second], table.upstreams[*first]))
    {
        return second;
    }
    return first;
}

/// Whether earlier attempts have used every candidate.
bool all_tried(route_candidates const& route, std::span<upstream_id const> tried)
{
    // Few upstreams have been tried, so for a large route the comparison of the sizes suffices.
    return route.ring.size() <= tried.size() &&
           std::ranges::all_of(route.ring,
                               [&](ring_point const& candidate) {
                                   return std::ranges::find(tried, candidate.upstream,
                                                            &upstream_id::index) != tried.end();
                               });
}

} // namespace

std::optional<choice> choose(upstream_table const& table, choice_request const& request,
                             base::mono_time now, std::mt19937_64& random)
{
    auto const* route = find_route(table, request.route);
    if (route == nullptr)
    {
        return std::nullopt;
    }
    auto allowed = request;
    if (all_tried(*route, request.tried))
    {
        // On a small route a refused request would otherwise wait in vain for an untried upstream.
        allowed.tried = route->ring.size() > 1 ? request.tried.last(1) : request.tried.first(0);
    }
    bool by_prefix = false;
    std::optional<std::uint32_t> index;
    if (allowed.prefix)
    {
        index = choose_by_prefix(table, *route, allowed, now);
        by_prefix = index.has_value();
    }
    if (!index)
    {
        index = choose_by_wait(table, *route, allowed, now, random);
    }
    if (!index)
    {
        return std::nullopt;
    }
    return choice{{*index, table.upstreams[*index].epoch}, by_prefix};
}

} // namespace gooseberrywood::routing
