#include "gateway/job_notices.hpp"

#include "base/log.hpp"
#include "gateway/job_ownership.hpp"

namespace gooseberrywood::gateway
{

namespace
{

void on_assigned(gateway& self, rollout::job_record const& record, std::uint64_t owner_revision)
{
    auto const [known, is_new] =
        self.shared.records.try_emplace(record.id, stored_record{record, owner_revision});
    if (is_new)
    {
        take_assigned_job(self, known->second.record, owner_revision);
    }
}

void on_ended(gateway& self, rollout::job_record const& record)
{
    auto const known = self.shared.records.find(record.id);
    if (known != self.shared.records.end())
    {
        known->second.record.ended = true;
    }
    stop_job(self, record.id);
}

} // namespace

void take_job_notice(gateway& self, wire::job_notice const& notice)
{
    auto const record = rollout::decode_job_record(notice.job_id, notice.record);
    if (!record)
    {
        base::log_line(base::log_level::error, "unreadable_notice", {{"job", notice.job_id}});
        return;
    }
    bool const is_end = notice.change == wire::job_change::ended;
    base::log_line(base::log_level::info, "job_notice",
                   {{"job", notice.job_id},
                    {"change", is_end ? "ended" : "assigned"},
                    {"owner_revision", static_cast<std::int64_t>(notice.owner_revision)}});
    if (is_end)
    {
        on_ended(self, *record);
    }
    else
    {
        on_assigned(self, *record, notice.owner_revision);
    }
}

void tell_owner(gateway& self, rollout::member const& owner, rollout::job_record const& record,
                std::uint64_t owner_revision)
{
    base::log_line(base::log_level::info, "job_assigned",
                   {{"job", record.id},
                    {"owner", owner.host},
                    {"owner_revision", static_cast<std::int64_t>(owner_revision)}});
    tell_peer(self.peers, owner.peer_address,
              wire::job_notice{record.id, wire::job_change::assigned, owner_revision,
                               rollout::encode(record)});
}

void tell_ended(gateway& self, rollout::job_record const& record)
{
    auto const owner = self.shared.owners.find(record.id);
    if (owner == self.shared.owners.end())
    {
        return;
    }
    for (auto const& [host, member] : self.shared.members)
    {
        bool const is_owner = rollout::owner_mark(host, member.lease) == owner->second.value;
        if (is_owner && host != self.settings.host && !member.peer_address.empty())
        {
            tell_peer(self.peers, member.peer_address,
                      wire::job_notice{record.id, wire::job_change::ended, owner->second.revision,
                                       rollout::encode(record)});
        }
    }
}

} // namespace gooseberrywood::gateway
