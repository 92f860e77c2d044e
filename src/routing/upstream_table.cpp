#include "routing/upstream_table.hpp"

#include "base/hash.hpp"
#include "base/invariant.hpp"

#include <algorithm>

namespace gooseberrywood::routing
{

namespace
{

bool is_candidate(upstream_table const& table, upstream_state const& upstream)
{
    auto const& agent = table.agents[upstream.agent];
    return agent.connected && !agent.domain_out && !agent.leaving && upstream.accepting;
}

auto ring_position(std::vector<ring_point>& ring, std::uint64_t point, std::uint32_t upstream)
{
    return std::lower_bound(ring.begin(), ring.end(), ring_point{point, upstream},
                            [](ring_point const& a, ring_point const& b) {
                                return a.point != b.point ? a.point < b.point
                                                          : a.upstream < b.upstream;
                            });
}

void set_has_credit(upstream_table& table, std::uint32_t index, bool has_credit)
{
    auto& upstream = table.upstreams[index];
    auto& list = table.routes[upstream.route].with_credit;
    if (has_credit == (upstream.with_credit_position != upstream_state::not_listed))
    {
        return;
    }
    if (has_credit)
    {
        upstream.with_credit_position = static_cast<std::uint32_t>(list.size());
        list.push_back(index);
        return;
    }
    auto const moved = list.back();
    list[upstream.with_credit_position] = moved;
    table.upstreams[moved].with_credit_position = upstream.with_credit_position;
    list.pop_back();
    upstream.with_credit_position = upstream_state::not_listed;
}

/// Updates the candidate lists of the route after a change of an upstream.
void update_lists(upstream_table& table, std::uint32_t index)
{
    auto& upstream = table.upstreams[index];
    auto& route = table.routes[upstream.route];
    auto const candidate = is_candidate(table, upstream);
    if (candidate != upstream.candidate)
    {
        auto const position = ring_position(route.ring, upstream.point, index);
        if (candidate)
        {
            route.ring.insert(position, {upstream.point, index});
        }
        else
        {
            route.ring.erase(position);
        }
        upstream.candidate = candidate;
    }
    auto const load = candidate ? expected_load(upstream) : 0;
    auto const limit = candidate ? std::max(upstream.limit, 1U) : 0;
    route.total_load = route.total_load - upstream.counted_load + load;
    route.total_limit = route.total_limit - upstream.counted_limit + limit;
    upstream.counted_load = load;
    upstream.counted_limit = limit;
    set_has_credit(table, index, candidate && upstream.in_flight < upstream.credit);
}

std::uint32_t route_index(upstream_table& table, std::string const& name)
{
    auto const [position, added] =
        table.route_by_name.try_emplace(name, static_cast<std::uint32_t>(table.routes.size()));
    if (added)
    {
        table.routes.emplace_back().name = name;
    }
    return position->second;
}

std::uint32_t allocate_slot(std::vector<std::uint32_t>& free_slots, auto& slots)
{
    if (free_slots.empty())
    {
        slots.emplace_back();
        return static_cast<std::uint32_t>(slots.size() - 1);
    }
    auto const index = free_slots.back();
    free_slots.pop_back();
    return index;
}

void add_upstream(upstream_table& table, std::uint32_t agent, wire::upstream_info const& info)
{
    auto const index = allocate_slot(table.free_upstreams, table.upstreams);
    auto& upstream = table.upstreams[index];
    auto const epoch = upstream.epoch;
    upstream = upstream_state{};
    upstream.epoch = epoch;
    upstream.name = info.name;
    upstream.agent = agent;
    upstream.route = route_index(table, info.route);
    upstream.point = base::hash64(table.agents[agent].host + '/' + info.name);
    table.agents[agent].upstreams.push_back(index);
}

/// Invalidates the ids of an upstream and resets its report and its attempts.
void reset_upstream(upstream_table& table, std::uint32_t index)
{
    auto& upstream = table.upstreams[index];
    ++upstream.epoch;
    upstream.accepting = false;
    upstream.credit = 0;
    upstream.limit = 0;
    upstream.running = 0;
    upstream.queued = 0;
    upstream.latency_us = 0;
    upstream.in_flight = 0;
    upstream.begun_since_report = 0;
    upstream.ended_since_report = 0;
    upstream.suspects_in_flight = 0;
    update_lists(table, index);
}

void remove_upstream(upstream_table& table, std::uint32_t index)
{
    reset_upstream(table, index);
    std::string{}.swap(table.upstreams[index].name);
    table.free_upstreams.push_back(index);
}

void end_session(upstream_table& table, std::uint32_t index)
{
    auto& agent = table.agents[index];
    agent.connected = false;
    ++agent.epoch;
    for (auto const upstream : agent.upstreams)
    {
        reset_upstream(table, upstream);
    }
}

void update_agent_lists(upstream_table& table, agent_state const& agent)
{
    for (auto const upstream : agent.upstreams)
    {
        update_lists(table, upstream);
    }
}

/// Removes the upstreams that the new hello doesn't list with the same route, and adds the new
/// ones.
void replace_upstreams(upstream_table& table, std::uint32_t index,
                       std::vector<wire::upstream_info> const& listed)
{
    auto const matches = [&](std::uint32_t upstream, wire::upstream_info const& info)
    {
        auto const& known = table.upstreams[upstream];
        return known.name == info.name && table.routes[known.route].name == info.route;
    };
    std::erase_if(table.agents[index].upstreams,
                  [&](std::uint32_t upstream)
                  {
                      if (std::ranges::any_of(listed, [&](auto const& info)
                                              { return matches(upstream, info); }))
                      {
                          return false;
                      }
                      remove_upstream(table, upstream);
                      return true;
                  });
    for (auto const& info : listed)
    {
        if (std::ranges::none_of(table.agents[index].upstreams,
                                 [&](std::uint32_t upstream) { return matches(upstream, info); }))
        {
            add_upstream(table, index, info);
        }
    }
}

bool is_current(upstream_table const& table, agent_session const& session)
{
    return session.agent < table.agents.size() && table.agents[session.agent].connected &&
           table.agents[session.agent].epoch == session.epoch;
}

} // namespace

agent_session connect_agent(upstream_table& table, wire::hello const& hello)
{
    auto const known = table.agent_by_host.find(hello.host);
    bool restarted = false;
    std::uint32_t index = 0;
    if (known != table.agent_by_host.end())
    {
        index = known->second;
        restarted = table.agents[index].incarnation != hello.incarnation;
        end_session(table, index);
    }
    else
    {
        index = allocate_slot(table.free_agents, table.agents);
        table.agent_by_host.emplace(hello.host, index);
        table.agents[index].host = hello.host;
    }
    auto& agent = table.agents[index];
    agent.domain = hello.domain;
    agent.incarnation = hello.incarnation;
    agent.domain_out = table.domains_out.contains(agent.domain);
    agent.leaving = table.hosts_leaving.contains(agent.host);
    agent.connected = true;
    replace_upstreams(table, index, hello.upstreams);
    return {index, agent.epoch, restarted};
}

void disconnect_agent(upstream_table& table, agent_session const& session)
{
    if (is_current(table, session))
    {
        end_session(table, session.agent);
    }
}

void remove_host(upstream_table& table, std::string_view host)
{
    auto const known = table.agent_by_host.find(host);
    if (known == table.agent_by_host.end())
    {
        return;
    }
    auto const index = known->second;
    end_session(table, index);
    auto& agent = table.agents[index];
    for (auto const upstream : agent.upstreams)
    {
        remove_upstream(table, upstream);
    }
    auto const epoch = agent.epoch;
    agent = agent_state{};
    agent.epoch = epoch;
    table.free_agents.push_back(index);
    table.agent_by_host.erase(known);
}

bool apply_credit(upstream_table& table, agent_session const& session, wire::credit const& report,
                  base::mono_time now)
{
    if (!is_current(table, session))
    {
        return false;
    }
    auto const& agent_upstreams = table.agents[session.agent].upstreams;
    auto const found =
        std::ranges::find_if(agent_upstreams, [&](std::uint32_t index)
                             { return table.upstreams[index].name == report.upstream; });
    if (found == agent_upstreams.end())
    {
        return false;
    }
    auto& upstream = table.upstreams[*found];
    upstream.credit = report.amount;
    upstream.limit = report.limit;
    upstream.running = report.running;
    upstream.queued = report.queued;
    upstream.latency_us = report.latency_us;
    upstream.accepting = report.accepting;
    upstream.reported_at = now;
    ++upstream.report_number;
    upstream.begun_since_report = 0;
    upstream.ended_since_report = 0;
    update_lists(table, *found);
    return true;
}

void set_domains_out(upstream_table& table, std::span<std::string const> domains)
{
    table.domains_out = {domains.begin(), domains.end()};
    for (auto& agent : table.agents)
    {
        agent.domain_out = table.domains_out.contains(agent.domain);
        update_agent_lists(table, agent);
    }
}

void set_hosts_leaving(upstream_table& table, std::span<std::string const> hosts)
{
    table.hosts_leaving = {hosts.begin(), hosts.end()};
    for (auto& agent : table.agents)
    {
        agent.leaving = table.hosts_leaving.contains(agent.host);
        update_agent_lists(table, agent);
    }
}

attempt_ticket begin_attempt(upstream_table& table, upstream_id upstream,
                             std::optional<base::mono_time> suspect_until)
{
    base::check_invariant(find_upstream(table, upstream) != nullptr,
                          "an attempt begins only on an upstream whose agent is connected");
    auto& state = table.upstreams[upstream.index];
    ++state.in_flight;
    ++state.begun_since_report;
    if (suspect_until)
    {
        ++state.suspects_in_flight;
        state.suspect_until = std::max(state.suspect_until, *suspect_until);
    }
    update_lists(table, upstream.index);
    return {upstream, state.report_number, suspect_until.has_value()};
}

void end_attempt(upstream_table& table, attempt_ticket const& ticket)
{
    if (find_upstream(table, ticket.upstream) == nullptr)
    {
        return;
    }
    auto& state = table.upstreams[ticket.upstream.index];
    base::check_invariant(state.in_flight > 0, "an attempt ends only once");
    --state.in_flight;
    if (ticket.report_number == state.report_number)
    {
        --state.begun_since_report;
    }
    else
    {
        ++state.ended_since_report;
    }
    if (ticket.suspect && --state.suspects_in_flight == 0)
    {
        state.suspect_until = base::mono_time::min();
    }
    update_lists(table, ticket.upstream.index);
}

upstream_state const* find_upstream(upstream_table const& table, upstream_id id)
{
    if (id.index >= table.upstreams.size())
    {
        return nullptr;
    }
    auto const& upstream = table.upstreams[id.index];
    return upstream.epoch == id.epoch && table.agents[upstream.agent].connected ? &upstream
                                                                                : nullptr;
}

route_candidates const* find_route(upstream_table const& table, std::string_view route)
{
    auto const found = table.route_by_name.find(route);
    return found == table.route_by_name.end() ? nullptr : &table.routes[found->second];
}

std::size_t memory_bytes(upstream_table const& table)
{
    auto const heap_bytes = [](std::string const& value)
    {
        return value.capacity() > std::string{}.capacity() ? value.capacity() + 1 : 0;
    };
    // A hash map node holds the pair, the cached hash and a pointer.
    constexpr std::size_t node_bytes = sizeof(std::pair<std::string, std::uint32_t>) + 16;
    std::size_t bytes = sizeof table;
    bytes += table.upstreams.capacity() * sizeof(upstream_state);
    bytes += table.agents.capacity() * sizeof(agent_state);
    bytes += table.routes.capacity() * sizeof(route_candidates);
    bytes +=
        (table.free_agents.capacity() + table.free_upstreams.capacity()) * sizeof(std::uint32_t);
    bytes += (table.agent_by_host.size() + table.route_by_name.size()) * node_bytes;
    bytes +=
        (table.agent_by_host.bucket_count() + table.route_by_name.bucket_count()) * sizeof(void*);
    for (auto const& upstream : table.upstreams)
    {
        bytes += heap_bytes(upstream.name);
    }
    for (auto const& agent : table.agents)
    {
        bytes += heap_bytes(agent.host) * 2 + heap_bytes(agent.domain);
        bytes += agent.upstreams.capacity() * sizeof(std::uint32_t);
    }
    for (auto const& route : table.routes)
    {
        bytes += heap_bytes(route.name) * 2 + route.ring.capacity() * sizeof(ring_point) +
                 route.with_credit.capacity() * sizeof(std::uint32_t);
    }
    return bytes;
}

} // namespace gooseberrywood::routing
