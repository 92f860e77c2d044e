#include "rollout/list_readers.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cstddef>
#include <tuple>

namespace gooseberrywood::rollout
{

namespace
{

// A domain with fewer processes is served by the reader of another one.
constexpr std::size_t large_domain = 4;

/// Best candidate first; processes that can't be connected to are left out.
std::vector<member const*> ranked(member_map const& members)
{
    std::vector<member const*> found;
    for (auto const& [host, one] : members)
    {
        if (!one.peer_address.empty())
        {
            found.push_back(&one);
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
    auto const candidates = ranked(members);
    std::map<std::string_view, std::size_t> sizes;
    for (auto const* one : candidates)
    {
        ++sizes[one->domain];
    }
    std::vector<member const*> readers;
    for (auto const* one : candidates)
    {
        auto const is_served =
            std::any_of(readers.begin(), readers.end(),
                        [&](member const* reader) { return reader->domain == one->domain; });
        if (!is_served && sizes[one->domain] >= large_domain)
        {
            readers.push_back(one);
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
    bool const reads_itself = std::any_of(readers.begin(), readers.end(),
                                          [&](member const* one) { return one->host == host; });
    if (reads_itself)
    {
        return {};
    }
    auto const seed = base::hash64(host);
    auto const order = [&](member const* one)
    {
        return std::tuple(one->domain != domain, base::hash64(one->host, seed));
    };
    std::sort(readers.begin(), readers.end(),
              [&](member const* a, member const* b) { return order(a) < order(b); });
    return readers;
}

} // namespace gooseberrywood::rollout
