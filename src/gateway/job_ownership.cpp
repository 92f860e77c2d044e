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

// Processes that do not assign an orphaned job at once wait for the delay and a part of the spread
// that depends on the host and the job, so that they act only if the first ones fail, and not all
// at the same time.
constexpr base::duration late_assign_delay = std::chrono::milliseconds(1000);
constexpr base::duration late_assign_spread = std::chrono::milliseconds(1000);

store::transaction claim_transaction(std::string const& id, rollout::member const& owner)
{
    store::transaction claim;
    claim.expected.push_back({rollout::owner_key(id), 0});
    claim.writes.push_back(
        {rollout::owner_key(id), rollout::owner_id(owner.host, owner.lease), owner.lease});
    return claim;
}

void assign_owner(gateway& self, rollout::job_record const& record, rollout::member const& owner)
{
    // Not retried until a later reconciliation can see the outcome.
    self.shared.assign_orphan_at[record.id] = base::mono_now() + store_call_timeout;
    self.store.commit_transaction(
        claim_transaction(record.id, owner), base::mono_now() + store_call_timeout,
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
            if (!outcome->committed)
            {
                // Another process has already assigned the job.
                return;
            }
            if (owner.host == self.settings.host)
            {
                if (owner.lease == self.lease.id)
                {
                    load_and_start_job(self, record, outcome->revision);
                }
                return;
            }
            notify_owner(self, owner, record, outcome->revision);
        });
}

/// Time at which this process assigns an owner to an orphaned job. All processes see the job within
/// a second; a few of them act at once, the others only if those fail too.
base::mono_time assign_time(gateway const& self, rollout::job_record const& record,
                            rollout::member const& chosen, base::mono_time now)
{
    if (chosen.host == self.settings.host || reads_for_others(self))
    {
        return now;
    }
    auto const spread = base::hash64(self.settings.host, base::hash64(record.id)) %
                        static_cast<std::uint64_t>(late_assign_spread.count());
    return now + late_assign_delay + base::duration(static_cast<std::int64_t>(spread));
}

/// Assigns an owner to a job that has none, once its time has come.
void reconcile_orphan(gateway& self, rollout::job_record const& record, base::mono_time now)
{
    auto const chosen = choose_owner(self, record);
    auto const [it, is_new] = self.shared.assign_orphan_at.try_emplace(record.id);
    if (is_new)
    {
        it->second = assign_time(self, record, chosen, now);
    }
    if (now < it->second)
    {
        return;
    }
    // On a retry this process takes the job itself, since the chosen member may have failed.
    assign_owner(self, record, is_new ? chosen : own_member(self));
}

void reclaim_job(gateway& self, owned_job& job)
{
    job.claiming = true;
    self.store.commit_transaction(claim_transaction(job.record.id, own_member(self)),
                                  base::mono_now() + store_call_timeout,
                                  [&self, id = job.record.id, lease = self.lease.id](
                                      base::result<store::commit> const& outcome)
                                  {
                                      auto const it = self.jobs.find(id);
                                      if (it == self.jobs.end())
                                      {
                                          return;
                                      }
                                      it->second.claiming = false;
                                      if (outcome && outcome->committed && lease == self.lease.id)
                                      {
                                          reload_job(self, it->second, outcome->revision);
                                      }
                                  });
}

void reconcile_owned(gateway& self, owned_job& job, store::item const& owner, base::mono_time now)
{
    update_times(self, job);
    bool const is_own = owner.value == own_mark(self);
    if (is_own && job.owner_revision == 0 && !job.claiming && has_lease(self, now))
    {
        reload_job(self, job, owner.revision);
    }
}

void reconcile_job(gateway& self, stored_record const& stored, base::mono_time now)
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
            reconcile_orphan(self, record, now);
        }
        else if (own->second.owner_revision == 0 && !own->second.claiming)
        {
            reclaim_job(self, own->second);
        }
        return;
    }
    self.shared.assign_orphan_at.erase(record.id);
    bool const is_own = owner->second.value == own_mark(self);
    if (own != self.jobs.end())
    {
        // An entry older than the last known change of the owner is outdated and ignored.
        bool const is_newer = owner->second.revision > own->second.owner_revision;
        if (!is_own && is_newer)
        {
            count_change(self, "job_lost");
            base::log_line(base::log_level::info, "job_lost", {{"job", record.id}});
            stop_job(self, record.id);
            return;
        }
        reconcile_owned(self, own->second, owner->second, now);
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
        reconcile_job(self, stored, now);
    }
    std::erase_if(self.shared.assign_orphan_at,
                  [&](auto const& entry) { return !self.shared.records.contains(entry.first); });
    std::erase_if(self.result_caches,
                  [&](auto const& entry) { return now >= entry.second.expires_at; });
}

void reclaim_jobs(gateway& self)
{
    for (auto& [id, job] : self.jobs)
    {
        if (job.owner_revision == 0 && !job.claiming)
        {
            reclaim_job(self, job);
        }
    }
}

} // namespace gooseberrywood::gateway
