#include "gateway/job_notices.hpp"

#include "base/log.hpp"
#include "gateway/job_running.hpp"

namespace gooseberrywood::gateway
{

void take_notice(gateway& self, wire::job_assigned const& notice)
{
    auto const record = rollout::decode_job_record(notice.job_id, notice.record);
    if (!record)
    {
        base::log_line(base::log_level::error, "unreadable_notice", {{"job", notice.job_id}});
        return;
    }
    base::log_line(base::log_level::info, "job_assigned_here",
                   {{"job", record->id},
                    {"owner_revision", static_cast<std::int64_t>(notice.owner_revision)}});
    take_assigned_job(self, *record, notice.owner_revision);
}

void take_notice(gateway& self, wire::job_ended const& notice)
{
    base::log_line(base::log_level::info, "job_ended_elsewhere", {{"job", notice.job_id}});
    note_ended(self, notice.job_id);
}

void tell_owner(gateway& self, rollout::member const& owner, rollout::job_record const& record,
                std::uint64_t owner_revision)
{
    base::log_line(base::log_level::info, "job_assigned",
                   {{"job", record.id},
                    {"owner", owner.host},
                    {"owner_revision", static_cast<std::int64_t>(owner_revision)}});
    tell_peer(self.peers, owner.peer_address,
              wire::job_assigned{record.id, owner_revision, rollout::encode(record)});
}

void tell_ended(gateway& self, std::string const& job_id)
{
    auto const owner = self.shared.owners.find(job_id);
    if (owner == self.shared.owners.end())
    {
        return;
    }
    for (auto const& [host, member] : self.shared.members)
    {
        bool const is_owner = rollout::owner_mark(host, member.lease) == owner->second.value;
        if (is_owner && host != self.settings.host && !member.peer_address.empty())
        {
            tell_peer(self.peers, member.peer_address, wire::job_ended{job_id});
        }
    }
}

} // namespace gooseberrywood::gateway
