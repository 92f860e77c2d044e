#include "gateway/job_notices.hpp"

#include "base/log.hpp"
#include "gateway/job_running.hpp"

#include <algorithm>
#include <set>

namespace gooseberrywood::gateway
{

namespace
{

// Longest time without an event after the expected end of an upstream's load of weights.
constexpr base::duration event_timeout_after_load = std::chrono::milliseconds(700);

/// Extends the deadlines of the runs on an upstream, which sends no events while it loads weights.
void extend_deadlines_for_load(gateway& self, std::string_view upstream, base::mono_time loaded_at)
{
    for (auto& [run_number, run] : self.runs)
    {
        if (run.upstream == upstream)
        {
            run.silence_deadline =
                std::max(run.silence_deadline, loaded_at + event_timeout_after_load);
        }
    }
}

void record_load(gateway& self, std::string const& upstream,
                 fleet::announced_weights const& weights)
{
    fleet::note_load(self.pool, upstream, weights);
    extend_deadlines_for_load(self, upstream, weights.loaded_at);
}

/// Peer addresses of the other gateways that own open jobs.
std::set<std::string> addresses_of_owners(gateway const& self)
{
    std::set<std::string> owner_values;
    for (auto const& [id, owner] : self.shared.owners)
    {
        auto const stored = self.shared.records.find(id);
        if (stored != self.shared.records.end() && !stored->second.record.ended)
        {
            owner_values.insert(owner.value);
        }
    }
    std::set<std::string> addresses;
    for (auto const& [host, member] : self.shared.members)
    {
        bool const is_owner = owner_values.contains(rollout::owner_mark(host, member.lease));
        if (is_owner && host != self.settings.host && !member.peer_address.empty())
        {
            addresses.insert(member.peer_address);
        }
    }
    return addresses;
}

} // namespace

void handle_notice(gateway& self, wire::job_assigned const& notice)
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
    start_assigned_job(self, *record, notice.owner_revision);
}

void handle_notice(gateway& self, wire::job_ended const& notice)
{
    base::log_line(base::log_level::info, "job_ended_elsewhere", {{"job", notice.job_id}});
    mark_job_ended(self, notice.job_id);
}

void handle_notice(gateway& self, wire::weights_loading const& notice)
{
    record_load(self, notice.upstream,
                {notice.model, notice.version, base::mono_now() + notice.remaining});
}

void notify_weights_loading(gateway& self, std::string const& upstream,
                            fleet::announced_weights const& weights)
{
    record_load(self, upstream, weights);
    auto const remaining = weights.loaded_at - base::mono_now();
    for (auto const& address : addresses_of_owners(self))
    {
        tell_peer(self.peers, address,
                  wire::weights_loading{upstream, weights.model, weights.version, remaining});
    }
}

void notify_owner(gateway& self, rollout::member const& owner, rollout::job_record const& record,
                  std::uint64_t owner_revision)
{
    base::log_line(base::log_level::info, "job_assigned",
                   {{"job", record.id},
                    {"owner", owner.host},
                    {"owner_revision", static_cast<std::int64_t>(owner_revision)}});
    tell_peer(self.peers, owner.peer_address,
              wire::job_assigned{record.id, owner_revision, rollout::encode(record)});
}

void notify_job_ended(gateway& self, std::string const& job_id)
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
