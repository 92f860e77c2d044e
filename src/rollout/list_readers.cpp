#include "rollout/list_readers.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cstddef>
#include <tuple>

namespace gooseberrywood::rollout
{

namespace
{

// Smaller failure domains have no reader of their own and ask the reader of another one.
constexpr std::size_t min_domain_size_for_reader = 4;

/// Members that other processes can connect to, strongest first.
std::vector<member const*> ranked_candidates(member_map const& members)
{
    std::vector<member const*> found;
    for (auto const& [host, candidate] : members)
    {
        if (!candidate.peer_address.empty())
        {
            found.push_back(&candidate);
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](member const* a, member const* b)
                     { return a->processors > b->processors; });
    return found;
}

} // namespace

std::vector<member const*> list_readers(member_map const& members)
{
    auto const candidates = ranked_candidates(members);
    std::map<std::string_view, std::size_t> domain_sizes;
    for (auto const* candidate : candidates)
    {
        ++domain_sizes[candidate->domain];
    }
    std::vector<member const*> readers;
    for (auto const* candidate : candidates)
    {
        auto const domain_has_reader =
            std::any_of(readers.begin(), readers.end(),
                        [&](member const* reader) { return reader->domain == candidate->domain; });
        if (!domain_has_reader && domain_sizes[candidate->domain] >= min_domain_size_for_reader)
        {
            readers.push_back(candidate);
        }
    }
    if (readers.empty() && !candidates.empty())
    {
        readers.push_back(candidates.front());
    }
    return readers;
}

std::vector<member const*> readers_to_ask(member_map const& members, std::string_view host,
                                          std::string_view domain)
{
    auto readers = list_readers(members);
    bool const is_reader = std::any_of(readers.begin(), readers.end(),
                                       [&](member const* reader) { return reader->host == host; });
    if (is_reader)
    {
        return {};
    }
    auto const seed = base::hash64(host);
    auto const preference_of = [&](member const* reader)
    {
        return std::tuple(reader->domain != domain, base::hash64(reader->host, seed));
    };
    std::sort(readers.begin(), readers.end(),
              [&](member const* a, member const* b)
              { return preference_of(a) < preference_of(b); });
    return readers;
}

} // namespace gooseberrywood::rollout
