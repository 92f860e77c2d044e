#include "routing/prefix_hints.hpp"

#include <algorithm>

namespace gooseberrywood::routing
{

namespace
{

void drop_earliest(prefix_hints& hints)
{
    auto const expires_at = hints.by_expiry.front().first;
    auto const prefix = hints.by_expiry.front().second;
    hints.by_expiry.pop_front();
    auto const found = hints.by_prefix.find(prefix);
    if (found == hints.by_prefix.end())
    {
        return;
    }
    auto const renewed = std::ranges::any_of(found->second, [&](prefix_hint const& hint)
                                             { return hint.expires_at > expires_at; });
    if (!renewed)
    {
        hints.by_prefix.erase(found);
    }
}

} // namespace

void record_cached(prefix_hints& hints, std::uint64_t prefix, upstream_id upstream,
                   base::mono_time now)
{
    while (!hints.by_expiry.empty() &&
           (hints.by_expiry.front().first <= now || hints.by_expiry.size() >= prefix_hints_max))
    {
        drop_earliest(hints);
    }
    auto& known = hints.by_prefix[prefix];
    auto const existing = std::ranges::find(known, upstream, &prefix_hint::upstream);
    auto& hint = existing != known.end()
                     ? *existing
                     : *std::ranges::min_element(known, {}, &prefix_hint::expires_at);
    hint = {upstream, now + prefix_hint_lifetime};
    hints.by_expiry.emplace_back(hint.expires_at, prefix);
}

void record_evicted(prefix_hints& hints, std::uint64_t prefix, upstream_id upstream)
{
    auto const found = hints.by_prefix.find(prefix);
    if (found == hints.by_prefix.end())
    {
        return;
    }
    for (auto& hint : found->second)
    {
        if (hint.upstream == upstream)
        {
            hint.expires_at = base::mono_time::min();
        }
    }
}

std::vector<upstream_id> hinted_upstreams(prefix_hints const& hints, std::uint64_t prefix,
                                          base::mono_time now)
{
    std::vector<upstream_id> upstreams;
    if (auto const found = hints.by_prefix.find(prefix); found != hints.by_prefix.end())
    {
        for (auto const& hint : found->second)
        {
            if (now < hint.expires_at)
            {
                upstreams.push_back(hint.upstream);
            }
        }
    }
    return upstreams;
}

} // namespace gooseberrywood::routing
