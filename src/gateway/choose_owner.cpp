#include "gateway/choose_owner.hpp"

#include "rollout/job_placement.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

/// Number of samples in jobs that were not ended, by the value of the owner entry.
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

/// Sorted names of all configured models; each trainer trains one of them.
std::vector<std::string> trained_models(gateway const& self)
{
    std::set<std::string> models;
    if (self.configuration)
    {
        for (auto const& service : self.configuration->services)
        {
            models.insert(service.models.begin(), service.models.end());
        }
    }
    return {models.begin(), models.end()};
}

} // namespace

rollout::member own_member(gateway const& self)
{
    return {self.settings.host, self.lease.id, self.peers.address,
            self.settings.processor_share * self.settings.processor_cores, self.settings.domain};
}

rollout::member choose_owner(gateway const& self, rollout::job_record const& record)
{
    auto members = self.shared.members;
    members.insert_or_assign(self.settings.host, own_member(self));
    auto const open_samples = count_open_samples(self.shared);
    std::vector<rollout::owner_candidate> candidates;
    for (auto const& [host, member] : members)
    {
        bool const is_reachable = host == self.settings.host || !member.peer_address.empty();
        if (is_reachable)
        {
            auto const open = open_samples.find(rollout::owner_mark(host, member.lease));
            candidates.push_back(
                {host, member.processors, open != open_samples.end() ? open->second : 0});
        }
    }
    auto const chosen =
        rollout::place_job(candidates, record.samples, record.model, trained_models(self));
    return members.find(candidates[chosen].host)->second;
}

} // namespace gooseberrywood::gateway
