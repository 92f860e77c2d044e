#include "rollout/permit_issuer.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::rollout
{

void note_members(issuer_views& views, member_map const& members, base::mono_time now)
{
    issuer_view current{now, {}};
    for (auto const& [host, member] : members)
    {
        if (!member.peer_address.empty())
        {
            current.hosts.push_back(host);
        }
    }
    if (views.empty() || views.back().hosts != current.hosts)
    {
        views.push_back(std::move(current));
    }
    // A view ends when the next one begins.
    while (views.size() > 1 && views[1].known_at + issuer_settle_time <= now)
    {
        views.pop_front();
    }
}

std::string_view issuer_of(issuer_view const& view, std::string_view upstream)
{
    auto const seed = base::hash64(upstream);
    auto const best = std::max_element(view.hosts.begin(), view.hosts.end(),
                                       [&](std::string const& a, std::string const& b)
                                       { return base::hash64(a, seed) < base::hash64(b, seed); });
    return best != view.hosts.end() ? std::string_view(*best) : std::string_view();
}

bool is_settled_issuer(issuer_views const& views, std::string_view upstream, std::string_view host,
                       base::mono_time now)
{
    if (views.empty() || now < views.front().known_at + issuer_settle_time)
    {
        return false;
    }
    for (std::size_t i = 0; i < views.size(); ++i)
    {
        bool const was_used =
            i + 1 == views.size() || now < views[i + 1].known_at + issuer_settle_time;
        if (was_used && issuer_of(views[i], upstream) != host)
        {
            return false;
        }
    }
    return true;
}

} // namespace gooseberrywood::rollout
