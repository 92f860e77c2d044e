#include "config/freshness.hpp"

#include "base/invariant.hpp"
#include "config/timing.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::config
{

namespace
{

/// The time at or after which `needed` of the times lie; the minimum if there are fewer.
base::mono_time reached_by(std::vector<base::mono_time>& times, std::size_t needed)
{
    if (needed == 0 || times.size() < needed)
    {
        return base::mono_time::min();
    }
    auto const at = times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(times.begin(), at, times.end(), std::greater<>());
    return *at;
}

base::mono_time domain_heard_at(freshness const& of, std::string const& domain)
{
    auto const listed = of.agents.find(domain);
    if (listed == of.agents.end())
    {
        return base::mono_time::min();
    }
    std::vector<base::mono_time> times;
    times.reserve(listed->second.size());
    for (auto const& [host, known] : listed->second)
    {
        times.push_back(known.good_at);
    }
    return reached_by(times, heard_quorum(times.size()));
}

} // namespace

void set_witnesses(freshness& of, std::span<std::string const> bundle_domains,
                   std::span<witness const> listed)
{
    of.domains.assign(bundle_domains.begin(), bundle_domains.end());
    decltype(of.agents) kept;
    for (auto const& agent : listed)
    {
        auto& place = kept[agent.domain][agent.host];
        auto const domain = of.agents.find(agent.domain);
        if (domain == of.agents.end())
        {
            continue;
        }
        auto const before = domain->second.find(agent.host);
        if (before != domain->second.end())
        {
            place = before->second;
        }
    }
    of.agents = std::move(kept);
}

void version_changed(freshness& of, std::uint64_t version)
{
    base::check_invariant(version >= of.version, "the configuration in effect never reverts");
    of.version = version;
    if (of.store_version <= version)
    {
        of.store_good_at = std::max(of.store_good_at, of.store_asked_at);
    }
    for (auto& [domain, agents] : of.agents)
    {
        for (auto& [host, known] : agents)
        {
            if (known.latest_named <= version)
            {
                known.good_at = std::max(known.good_at, known.latest_at);
            }
        }
    }
}

void heard(freshness& of, peer_frame const& frame)
{
    if (frame.sender != standing::witness)
    {
        return;
    }
    auto const domain = of.agents.find(frame.domain);
    if (domain == of.agents.end())
    {
        return;
    }
    auto const agent = domain->second.find(frame.host);
    if (agent == domain->second.end())
    {
        return;
    }
    auto& known = agent->second;
    if (frame.sent_after < known.latest_at)
    {
        // From an earlier connection, or from one that has no echo yet.
        return;
    }
    known.latest_named = std::max(frame.version, frame.intent);
    known.latest_at = frame.sent_after;
    if (known.latest_named <= of.version)
    {
        known.good_at = std::max(known.good_at, known.latest_at);
    }
}

void store_word(freshness& of, std::uint64_t store_version, base::mono_time asked_at)
{
    if (asked_at < of.store_asked_at)
    {
        return;
    }
    of.store_asked_at = asked_at;
    of.store_version = store_version;
    if (store_version <= of.version)
    {
        of.store_good_at = asked_at;
    }
}

base::mono_time fresh_until(freshness const& of)
{
    std::vector<base::mono_time> times;
    times.reserve(of.domains.size());
    for (auto const& domain : of.domains)
    {
        times.push_back(domain_heard_at(of, domain));
    }
    auto const needed = domain_majority(times.size());
    auto const word_at = std::max(reached_by(times, needed), of.store_good_at);
    return word_at + freshness_window;
}

bool may_serve_keyed(freshness const& of, base::mono_time now)
{
    return of.version != 0 && now < fresh_until(of);
}

standing standing_of(freshness const& of, base::mono_time now)
{
    return may_serve_keyed(of, now) ? standing::fresh : standing::none;
}

} // namespace gooseberrywood::config
