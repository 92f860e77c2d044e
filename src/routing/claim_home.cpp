#include "routing/claim_home.hpp"

#include "base/hash.hpp"
#include "routing/detail/mix.hpp"

#include <tuple>
#include <utility>

namespace gooseberrywood::routing
{

claim_home make_claim_home(std::string host, std::string domain)
{
    auto const hash = base::hash64(host);
    return {std::move(host), std::move(domain), hash};
}

std::vector<claim_home> choose_claim_homes(std::span<claim_home const> agents,
                                           base::request_id const& id)
{
    auto const score = [&](claim_home const& home)
    {
        return detail::mix(home.host_hash ^ detail::mix(id.high ^ detail::mix(id.low)));
    };
    auto const best_of = [&](auto const& allowed) -> claim_home const*
    {
        claim_home const* best = nullptr;
        std::uint64_t best_score = 0;
        for (auto const& agent : agents)
        {
            if (!allowed(agent))
            {
                continue;
            }
            // Equal scores are ordered by host, so that all entries choose alike.
            auto const own = score(agent);
            if (best == nullptr || std::tie(own, agent.host) > std::tie(best_score, best->host))
            {
                best = &agent;
                best_score = own;
            }
        }
        return best;
    };
    std::vector<claim_home> homes;
    auto const* first = best_of([](claim_home const&) { return true; });
    if (first == nullptr)
    {
        return homes;
    }
    homes.push_back(*first);
    auto const* second =
        best_of([&](claim_home const& agent) { return agent.domain != first->domain; });
    if (second == nullptr)
    {
        second = best_of([&](claim_home const& agent) { return agent.host != first->host; });
    }
    if (second != nullptr)
    {
        homes.push_back(*second);
    }
    return homes;
}

} // namespace gooseberrywood::routing
