#include "gateway/job_ownership.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "gateway/choose_owner.hpp"
#include "gateway/job_notices.hpp"
#include "gateway/job_running.hpp"
#include "gateway/list_exchange.hpp"
#include "gateway/measure.hpp"
#include "rollout/store_keys.hpp"

#include <string>

namespace gooseberrywood::gateway
{

namespace
{

// A process that is not the first to act on a job without an owner acts within this time.
constexpr base::duration late_assign_pause = std::chrono::milliseconds(1000);
constexpr base::duration late_assign_spread = std::chrono::milliseconds(1000);

store::transaction claim_write(std::string const& id, rollout::member const& owner)
{
    store::transaction claim;
    claim.expected.push_back({rollout::owner_key(id), 0});
    claim.writes.push_back(
        {rollout::owner_key(id), rollout::owner_mark(owner.host, owner.lease), owner.lease});
    return claim;
}

void assign(gateway& self, rollout::job_record const& record, rollout::member const& owner)
{
    // Not tried again before a later review has shown what became of it.
    self.shared.assign_orphan_at[record.id] = base::mono_now() + store_call_timeout;
    self.store.commit_all(claim_write(record.id, owner), base::mono_now() + store_call_timeout,
                          [&self, record, owner](base::result<store::commit> const& outcome)
                          {
                              if (!outcome)
                              {
                                  base::log_line(base::log_level::warning, "job_not_assigned",
                                                 {{"job", record.id},
                                                  {"code", outcome.error().code},
                                                  {"reason", outcome.error().message}});
                                  return;
                              }
                              if (!outcome->done)
                              {
                                  // Another process was first.
                                  return;
                              }
                              if (owner.host == self.settings.host)
                              {
                                  load_and_start_job(self, record, outcome->revision);
                                  return;
                              }
                              notify_owner(self, owner, record, outcome->revision);
                          });
}

/// When this process gives an owner to a job that it sees without one. All processes see it within
/// a second; a few of them act at once, the others only if those are lost too.
base::mono_time assign_time(gateway const& self, rollout::job_record const& record,
                            rollout::member const& chosen, base::mono_time now)
{
    if (chosen.host == self.settings.host || reads_for_others(self))
    {
        return now;
    }
    auto const spread = base::hash64(self.settings.host, base::hash64(record.id)) %
                        static_cast<std::uint64_t>(late_assign_spread.count());
    return now + late_assign_pause + base::duration(static_cast<std::int64_t>(spread));
}

/// Gives an owner to a job that has none.
void review_orphan(gateway& self, rollout::job_record const& record, base::mono_time now)
{
    auto const chosen = choose_owner(self, record);
    auto const [at, is_new] = self.shared.assign_orphan_at.try_emplace(record.id);
    if (is_new)
    {
        at->second = assign_time(self, record, chosen, now);
    }
    if (now < at->second)
    {
        return;
    }
    // The second time this process takes the job itself: the one that was chosen may be gone.
    assign(self, record, is_new ? chosen : own_member(self));
}

void reclaim(gateway& self, owned_job& job)
{
    job.claiming = true;
    self.store.commit_all(claim_write(job.record.id, own_member(self)),
                          base::mono_now() + store_call_timeout,
                          [&self, id = job.record.id](base::result<store::commit> const& outcome)
                          {
                              auto const at = self.jobs.find(id);
                              if (at == self.jobs.end())
                              {
                                  return;
                              }
                              at->second.claiming = false;
                              if (outcome && outcome->done)
                              {
                                  reload_job(self, at->second, outcome->revision);
                              }
                          });
}

void review_owned(gateway& self, owned_job& job, store::item const& owner, base::mono_time now)
{
    bool const is_own = owner.value == own_mark(self);
    if (is_own && job.owner_revision == 0 && !job.claiming && has_lease(self, now))
    {
        reload_job(self, job, owner.revision);
    }
}

void review_job(gateway& self, stored_record const& stored, base::mono_time now)
{
    auto const& record = stored.record;
    auto const own = self.jobs.find(record.id);
    auto const owner = self.shared.owners.find(record.id);
    if (record.ended)
    {
        self.shared.assign_orphan_at.erase(record.id);
        stop_job(self, record.id);
        return;
    }
    if (owner == self.shared.owners.end())
    {
        if (!has_lease(self, now) || self.stopping)
        {
            return;
        }
        if (own == self.jobs.end())
        {
            review_orphan(self, record, now);
        }
        else if (own->second.owner_revision == 0 && !own->second.claiming)
        {
            reclaim(self, own->second);
        }
        return;
    }
    self.shared.assign_orphan_at.erase(record.id);
    bool const is_own = owner->second.value == own_mark(self);
    if (own != self.jobs.end())
    {
        // A view that was read before the last change of the owner says nothing.
        bool const is_newer = owner->second.revision > own->second.owner_revision;
        if (!is_own && is_newer)
        {
            count_change(self, "job_lost");
            base::log_line(base::log_level::info, "job_lost", {{"job", record.id}});
            stop_job(self, record.id);
            return;
        }
        review_owned(self, own->second, owner->second, now);
        return;
    }
    if (is_own && has_lease(self, now) && !self.stopping)
    {
        load_and_start_job(self, record, owner->second.revision);
    }
}

} // namespace

void reconcile_jobs(gateway& self)
{
    if (!self.configuration)
    {
        return;
    }
    auto const now = base::mono_now();
    auto const records = self.shared.records;
    for (auto const& [id, stored] : records)
    {
        review_job(self, stored, now);
    }
    std::erase_if(self.shared.assign_orphan_at,
                  [&](auto const& one) { return !self.shared.records.contains(one.first); });
    std::erase_if(self.caches, [&](auto const& one) { return now >= one.second.drop_at; });
}

void reclaim_jobs(gateway& self)
{
    for (auto& [id, job] : self.jobs)
    {
        if (job.owner_revision == 0 && !job.claiming)
        {
            reclaim(self, job);
        }
    }
}

} // namespace gooseberrywood::gateway
