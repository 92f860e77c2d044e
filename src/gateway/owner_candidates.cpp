#include "gateway/owner_candidates.hpp"

#include <map>
#include <string_view>

namespace gooseberrywood::gateway
{

namespace
{

/// Samples of jobs that were not ended, by what their owners write of themselves.
std::map<std::string_view, std::size_t> count_open_samples(shared_view const& shared)
{
    std::map<std::string_view, std::size_t> counts;
    for (auto const& [id, owner] : shared.owners)
    {
        auto const stored = shared.records.find(id);
        if (stored != shared.records.end() && !stored->second.record.ended)
        {
            counts[owner.value] += stored->second.record.samples;
        }
    }
    return counts;
}

} // namespace

owner_candidates list_owner_candidates(gateway const& self)
{
    auto counts = count_open_samples(self.shared);
    owner_candidates found;
    for (auto const& [host, member] : self.shared.members)
    {
        bool const can_be_told = !member.peer_address.empty();
        if (host != self.settings.host && can_be_told)
        {
            found.all.push_back(
                {host, member.processors, counts[rollout::owner_mark(host, member.lease)]});
        }
    }
    found.own = found.all.size();
    found.all.push_back(
        {self.settings.host, own_member(self).processors, counts[own_mark(self)]});
    return found;
}

rollout::member own_member(gateway const& self)
{
    return {self.settings.host, self.lease.id, self.peers.address,
            self.settings.processor_share * self.settings.processor_cores};
}

rollout::member owner_for_new_job(gateway const& self, std::size_t samples)
{
    auto const candidates = list_owner_candidates(self);
    auto const chosen = rollout::place_job(candidates.all, candidates.own, samples);
    auto const at = self.shared.members.find(candidates.all[chosen].host);
    return chosen == candidates.own || at == self.shared.members.end() ? own_member(self)
                                                                       : at->second;
}

} // namespace gooseberrywood::gateway
