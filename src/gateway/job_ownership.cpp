#include "gateway/job_ownership.hpp"

#include "base/log.hpp"
#include "gateway/job_notices.hpp"
#include "gateway/job_store.hpp"
#include "gateway/measure.hpp"
#include "gateway/owner_candidates.hpp"
#include "gateway/result_writer.hpp"
#include "gateway/reward_runner.hpp"
#include "gateway/sample_runner.hpp"
#include "gateway/sample_runs.hpp"
#include "rollout/store_keys.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

base::mono_time to_mono(base::wall_time at)
{
    return base::mono_now() + base::duration((at - base::wall_now()).count());
}

void set_times(gateway const& self, owned_job& job)
{
    auto const* const route = route_of(self, job.record);
    auto const submitted = to_mono(job.record.submitted_at);
    fleet::route const defaults;
    job.due = submitted + (route != nullptr ? route->run_target : defaults.run_target);
    job.give_up_at = submitted + (route != nullptr ? route->retention : defaults.retention);
}

owned_job make_job(gateway const& self, rollout::job_record const& record, rollout::batch_job spec,
                   std::uint64_t owner_revision)
{
    owned_job job;
    job.record = record;
    job.spec = std::move(spec);
    job.samples.resize(job.spec.samples.size());
    for (std::size_t i = 0; i < job.spec.samples.size(); ++i)
    {
        job.index_by_id[job.spec.samples[i].id] = i;
    }
    job.owner_revision = owner_revision;
    set_times(self, job);
    return job;
}

/// Takes over which results are listed. A sample among them needs no run any more, whoever has
/// generated it.
void take_listed(gateway& self, owned_job& job, std::vector<rollout::sample_result> listed)
{
    for (auto const& result : listed)
    {
        auto const at = job.index_by_id.find(result.id);
        if (at != job.index_by_id.end())
        {
            cancel_run(self, job.record.id, at->second);
            job.samples[at->second].phase = rollout::sample_phase::listed;
        }
    }
    job.listed = std::move(listed);
}

bool is_listed(owned_job const& job, rollout::sample_result const& result)
{
    return job.samples[job.index_by_id.at(result.id)].phase == rollout::sample_phase::listed;
}

/// Goes on with a job that was claimed again. Results that were being written are either listed by
/// now or wait to be written anew.
void take_back(gateway& self, owned_job& job, std::vector<rollout::sample_result> listed,
               std::uint64_t owner_revision)
{
    job.owner_revision = owner_revision;
    job.write_running = false;
    job.finished.insert(job.finished.begin(), std::make_move_iterator(job.writing.begin()),
                        std::make_move_iterator(job.writing.end()));
    job.writing.clear();
    take_listed(self, job, std::move(listed));
    std::erase_if(job.finished,
                  [&](rollout::sample_result const& one) { return is_listed(job, one); });
    base::log_line(
        base::log_level::info, "job_reclaimed",
        {{"job", job.record.id}, {"listed", static_cast<std::int64_t>(job.listed.size())}});
    write_pending_results(self);
}

/// Reads what is stored of a job whose owner's entry is this process's again.
void reload_job(gateway& self, owned_job& claimed, std::uint64_t owner_revision)
{
    claimed.claiming = true;
    load_job(self, claimed.record.id,
             [&self, id = claimed.record.id, owner_revision](base::result<stored_job> stored)
             {
                 auto const at = self.jobs.find(id);
                 if (at == self.jobs.end())
                 {
                     return;
                 }
                 at->second.claiming = false;
                 if (stored)
                 {
                     take_back(self, at->second, std::move(stored->results), owner_revision);
                 }
             });
}

void start_loaded(gateway& self, rollout::job_record const& record, stored_job stored,
                  std::uint64_t owner_revision)
{
    auto job = make_job(self, record, std::move(stored.spec), owner_revision);
    for (auto& [id, progress] : stored.progress)
    {
        auto const at = job.index_by_id.find(id);
        if (at != job.index_by_id.end())
        {
            job.samples[at->second] = std::move(progress);
        }
    }
    take_listed(self, job, std::move(stored.results));
    count_change(self, "job_taken_over");
    base::log_line(base::log_level::info, "job_taken_over",
                   {{"job", record.id},
                    {"listed", static_cast<std::int64_t>(job.listed.size())},
                    {"resumed", static_cast<std::int64_t>(stored.progress.size())}});
    auto& running = self.jobs.insert_or_assign(record.id, std::move(job)).first->second;
    for (std::size_t i = 0; i < running.samples.size(); ++i)
    {
        auto const& sample = running.samples[i];
        if (sample.complete && sample.phase == rollout::sample_phase::waiting)
        {
            score_sample(self, running, i);
        }
    }
    dispatch_samples(self);
}

void load_claimed(gateway& self, rollout::job_record const& record, std::uint64_t owner_revision)
{
    if (!self.loading_jobs.insert(record.id).second)
    {
        return;
    }
    load_job(self, record.id,
             [&self, record, owner_revision](base::result<stored_job> stored)
             {
                 self.loading_jobs.erase(record.id);
                 if (!stored)
                 {
                     // The next review finds this process as the owner of a job that it does not
                     // run, and loads it again.
                     base::log_line(base::log_level::warning, "job_not_loaded",
                                    {{"job", record.id}, {"reason", stored.error().message}});
                     return;
                 }
                 if (!self.jobs.contains(record.id))
                 {
                     start_loaded(self, record, std::move(*stored), owner_revision);
                 }
             });
}

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
    self.shared.orphaned_since[record.id] = base::mono_now() + store_call_timeout;
    self.store.commit_all(claim_write(record.id, owner), base::mono_now() + store_call_timeout,
                          [&self, record, owner](base::result<store::commit> const& outcome)
                          {
                              if (!outcome || !outcome->done)
                              {
                                  return;
                              }
                              if (owner.host == self.settings.host)
                              {
                                  load_claimed(self, record, outcome->revision);
                                  return;
                              }
                              tell_owner(self, owner, record, outcome->revision);
                          });
}

/// Whoever sees a job without an owner gives it one.
void review_orphan(gateway& self, rollout::job_record const& record, base::mono_time now)
{
    auto const [since, is_new] = self.shared.orphaned_since.try_emplace(record.id, now);
    if (now < since->second)
    {
        return;
    }
    // The second time this process takes the job itself: the one that was chosen may be gone.
    assign(self, record, is_new ? choose_owner(self, record) : own_member(self));
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
        self.shared.orphaned_since.erase(record.id);
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
    self.shared.orphaned_since.erase(record.id);
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
        load_claimed(self, record, owner->second.revision);
    }
}

} // namespace

bool owns(gateway const& self, owned_job const& job, base::mono_time now)
{
    return job.owner_revision != 0 && has_lease(self, now);
}

void adopt_job(gateway& self, rollout::job_record const& record, rollout::batch_job spec,
               std::uint64_t owner_revision)
{
    // A read of the shared entries may have shown the job before the answer to its submission came.
    // Its samples run by then, and must not be counted from the start again.
    auto const added = self.jobs.try_emplace(record.id);
    if (!added.second)
    {
        return;
    }
    added.first->second = make_job(self, record, std::move(spec), owner_revision);
    dispatch_samples(self);
}

void take_assigned_job(gateway& self, rollout::job_record const& record,
                       std::uint64_t owner_revision)
{
    if (!self.stopping && has_lease(self, base::mono_now()))
    {
        load_claimed(self, record, owner_revision);
    }
}

void stop_job(gateway& self, std::string const& id)
{
    cancel_runs(self, id);
    self.jobs.erase(id);
}

void review_jobs(gateway& self)
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
    std::erase_if(self.shared.orphaned_since,
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
