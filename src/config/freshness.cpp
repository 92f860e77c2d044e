#include "config/freshness.hpp"

#include "base/invariant.hpp"
#include "config/announcements.hpp"
#include "config/delta.hpp"
#include "config/timing.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::config
{

namespace
{

/// Announced changes are made into records when the word of the store is this close to its end, so
/// that they are ready when it lapses.
constexpr base::duration prepare_ahead = std::chrono::seconds(2);

/// The time at or after which `needed` of the times lie; the minimum if there are fewer.
base::mono_time reached_by(std::vector<base::mono_time>& times, std::size_t needed)
{
    if (times.size() < needed)
    {
        return base::mono_time::min();
    }
    auto const at = times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(times.begin(), at, times.end(), std::greater<>());
    return *at;
}

/// The time at or after which a majority of domains was heard, judged by one kind of evidence.
base::mono_time majority_heard_at(freshness const& of, base::mono_time evidence::*kind)
{
    std::vector<base::mono_time> domains;
    std::vector<base::mono_time> agents;
    for (auto const& domain : of.domains)
    {
        agents.clear();
        if (auto const listed = of.agents.find(domain); listed != of.agents.end())
        {
            for (auto const& [host, known] : listed->second)
            {
                agents.push_back(known.*kind);
            }
        }
        domains.push_back(reached_by(agents, heard_quorum(agents.size())));
    }
    return reached_by(domains, domain_majority(domains.size()));
}

void raise(base::mono_time& at, base::mono_time to)
{
    at = std::max(at, to);
}

bool names_nothing_above(evidence const& known, std::uint64_t version)
{
    return known.latest_version <= version &&
           std::all_of(known.latest_announced.begin(), known.latest_announced.end(),
                       [&](named_change const& what) { return what.version <= version; });
}

void use_latest(evidence& known, std::uint64_t version)
{
    if (names_nothing_above(known, version))
    {
        raise(known.full_at, known.latest_at);
        raise(known.restricted_at, known.latest_at);
    }
}

held_change const* find_held(freshness const& of, named_change const& what)
{
    auto const found =
        std::find_if(of.held.begin(), of.held.end(),
                     [&](held_change const& at) { return at.announced.made.what == what; });
    return found == of.held.end() ? nullptr : &*found;
}

bool holds_all(freshness const& of, evidence const& known)
{
    return known.latest_version <= of.version &&
           std::all_of(known.latest_announced.begin(), known.latest_announced.end(),
                       [&](named_change const& what)
                       {
                           auto const* held = find_held(of, what);
                           return what.version <= of.version ||
                                  (held != nullptr && held->whole.has_value());
                       });
}

/// The record that a change leads to, if it starts from the one in effect or from another
/// announced one.
std::optional<record> make_whole(freshness const& of, in_force const& current,
                                 announcement const& from)
{
    auto const change = decode_delta(from.made.content);
    if (!change || !current.current || change->to_hash != from.made.what.hash ||
        change->to_version != from.made.what.version)
    {
        return std::nullopt;
    }
    auto made = apply(*current.current, current.current_hash, *change);
    for (auto const& other : of.held)
    {
        if (!made && other.whole)
        {
            made = apply(*other.whole, other.announced.made.what.hash, *change);
        }
    }
    if (!made)
    {
        return std::nullopt;
    }
    auto const stated = current.verify(made->bundle_text, made->bundle_signature);
    // With other domains the next change would be announced to another majority than the one that
    // is judged here.
    if (!stated || stated->domains != current.bundle.domains)
    {
        return std::nullopt;
    }
    return std::move(*made);
}

void drop_settled(freshness& of)
{
    std::erase_if(of.held,
                  [&](held_change const& at)
                  {
                      return at.announced.made.what.version <= of.version ||
                             of.store_good_at >= at.announced.clear_after;
                  });
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
        raise(of.store_good_at, of.store_asked_at);
    }
    for (auto& [domain, agents] : of.agents)
    {
        for (auto& [host, known] : agents)
        {
            use_latest(known, version);
        }
    }
    drop_settled(of);
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
    known.latest_at = frame.sent_after;
    known.latest_version = frame.version;
    known.latest_announced = frame.announced;
    use_latest(known, of.version);
}

void announced(freshness& of, intent const& said, base::mono_time now)
{
    auto const same = std::find_if(of.held.begin(), of.held.end(),
                                   [&](held_change const& at) {
                                       return at.announced.made.what == said.what &&
                                              at.announced.made.announcer == said.announcer;
                                   });
    if (said.withdrawn)
    {
        if (same != of.held.end())
        {
            of.held.erase(same);
        }
        return;
    }
    auto const clear_after = now + announcement_clear_age;
    if (same != of.held.end())
    {
        same->announced.clear_after = clear_after;
    }
    else if (said.what.version > of.version && of.held.size() < max_announcements)
    {
        of.held.push_back({{said, clear_after}, std::nullopt});
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
        drop_settled(of);
    }
}

void prepare(freshness& of, in_force const& current, base::mono_time now)
{
    if (now + prepare_ahead < full_until(of))
    {
        return;
    }
    // One pass may make a record that the next change starts from.
    bool made_one = true;
    while (made_one)
    {
        made_one = false;
        for (auto& at : of.held)
        {
            if (!at.whole)
            {
                at.whole = make_whole(of, current, at.announced);
                made_one = made_one || at.whole.has_value();
            }
        }
    }
    for (auto& [domain, agents] : of.agents)
    {
        for (auto& [host, known] : agents)
        {
            if (holds_all(of, known))
            {
                raise(known.restricted_at, known.latest_at);
            }
        }
    }
}

base::mono_time full_until(freshness const& of)
{
    auto const at = std::max(majority_heard_at(of, &evidence::full_at), of.store_good_at);
    return at + freshness_window;
}

base::mono_time restricted_until(freshness const& of)
{
    auto const at = std::max(majority_heard_at(of, &evidence::restricted_at), of.store_good_at);
    return at + freshness_window;
}

serving_state state_of(freshness const& of, base::mono_time now)
{
    if (of.version == 0)
    {
        return serving_state::stopped;
    }
    if (now < full_until(of))
    {
        return serving_state::full;
    }
    return now < restricted_until(of) ? serving_state::restricted : serving_state::stopped;
}

std::vector<std::reference_wrapper<record const>> restrictions(freshness const& of)
{
    std::vector<std::reference_wrapper<record const>> found;
    for (auto const& at : of.held)
    {
        if (at.whole)
        {
            found.emplace_back(*at.whole);
        }
    }
    return found;
}

std::optional<due_request> next_request(freshness& of, base::mono_time now)
{
    if (now < of.asked_until)
    {
        return std::nullopt;
    }
    std::vector<std::string const*> knowing;
    for (auto const& [domain, agents] : of.agents)
    {
        for (auto const& [host, known] : agents)
        {
            bool const unknown_here =
                std::any_of(known.latest_announced.begin(), known.latest_announced.end(),
                            [&](named_change const& what) {
                                return what.version > of.version && find_held(of, what) == nullptr;
                            });
            if (unknown_here)
            {
                knowing.push_back(&host);
            }
        }
    }
    if (knowing.empty())
    {
        return std::nullopt;
    }
    of.asked_until = now + request_timeout;
    return due_request{*knowing[of.requests++ % knowing.size()], of.version};
}

intent const* find(freshness const& of, named_change const& what)
{
    auto const* held = find_held(of, what);
    return held == nullptr ? nullptr : &held->announced.made;
}

standing standing_of(freshness const& of, base::mono_time now)
{
    return state_of(of, now) == serving_state::full ? standing::fresh : standing::none;
}

} // namespace gooseberrywood::config
