#include "routing/claim_home.hpp"

#include "base/hash.hpp"
#include "routing/detail/mix.hpp"

#include <utility>

namespace gooseberrywood::routing
{

namespace
{

struct ranked_home
{
    claim_home const* home = nullptr;
    std::uint64_t score = 0;
};

/// Ties are broken by host, so that all entries make the same choice.
bool is_better(ranked_home const& a, ranked_home const& b)
{
    if (b.home == nullptr || a.score != b.score)
    {
        return b.home == nullptr || a.score > b.score;
    }
    return a.home->host > b.home->host;
}

} // namespace

claim_home make_claim_home(std::string host, std::string domain)
{
    auto const hash = base::hash64(host);
    return {std::move(host), std::move(domain), hash};
}

std::vector<claim_home> choose_claim_homes(std::span<claim_home const> agents,
                                           base::request_id const& id)
{
    auto const id_hash = detail::mix(id.high ^ detail::mix(id.low));
    ranked_home first;
    // The best agent outside the domain of the first, and the second best of all.
    ranked_home other_domain;
    ranked_home runner_up;
    for (auto const& agent : agents)
    {
        auto const score = detail::mix(agent.host_hash ^ id_hash);
        // Fast path: most agents rank below both candidates for the second home.
        if (score < runner_up.score && score < other_domain.score)
        {
            continue;
        }
        ranked_home const candidate{&agent, score};
        if (is_better(candidate, first))
        {
            if (first.home != nullptr && first.home->domain != agent.domain)
            {
                other_domain = first;
            }
            runner_up = first;
            first = candidate;
            continue;
        }
        if (is_better(candidate, runner_up) && agent.host != first.home->host)
        {
            runner_up = candidate;
        }
        if (is_better(candidate, other_domain) && agent.domain != first.home->domain)
        {
            other_domain = candidate;
        }
    }
    std::vector<claim_home> homes;
    auto const& second = other_domain.home != nullptr ? other_domain : runner_up;
    for (auto const* home : {first.home, second.home})
    {
        if (home != nullptr)
        {
            homes.push_back(*home);
        }
    }
    return homes;
}

} // namespace gooseberrywood::routing
