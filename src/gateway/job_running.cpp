#include "gateway/job_running.hpp"

#include "base/log.hpp"
#include "gateway/job_memory.hpp"
#include "gateway/job_store.hpp"
#include "gateway/job_work.hpp"
#include "gateway/measure.hpp"
#include "gateway/result_writer.hpp"
#include "gateway/reward_runner.hpp"
#include "gateway/sample_runner.hpp"
#include "rollout/store_keys.hpp"

#include <iterator>
#include <utility>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

base::mono_time to_mono(base::wall_time time)
{
    return base::mono_now() + base::duration((time - base::wall_now()).count());
}

void set_times(gateway const& self, owned_job& job)
{
    auto const* const route = route_of(self, job.record);
    auto const submitted = to_mono(job.record.submitted_at);
    fleet::route const defaults;
    job.has_route_times = route != nullptr;
    job.due = submitted + (route != nullptr ? route->run_target : defaults.run_target);
    job.give_up_at = submitted + (route != nullptr ? route->retention : defaults.retention);
}

owned_job make_owned_job(gateway const& self, rollout::job_record const& record,
                         rollout::batch_job spec, std::uint64_t owner_revision)
{
    owned_job job;
    job.record = record;
    job.spec = std::move(spec);
    job.memory = count_job(self, job.spec);
    job.samples.resize(job.spec.samples.size());
    for (std::size_t i = 0; i < job.spec.samples.size(); ++i)
    {
        job.index_by_id[job.spec.samples[i].id] = i;
    }
    job.owner_revision = owner_revision;
    set_times(self, job);
    return job;
}

/// Replaces the listed results. Withdraws the work of their samples, which need none any more,
/// whichever process generated the results.
void apply_listed_results(gateway& self, owned_job& job, std::vector<rollout::sample_result> listed)
{
    for (auto const& result : listed)
    {
        auto const it = job.index_by_id.find(result.id);
        if (it != job.index_by_id.end())
        {
            withdraw_sample_work(self, job.record.id, it->second);
            job.samples[it->second].phase = rollout::sample_phase::listed;
        }
    }
    job.listed = std::move(listed);
}

bool is_listed(owned_job const& job, rollout::sample_result const& result)
{
    return job.samples[job.index_by_id.at(result.id)].phase == rollout::sample_phase::listed;
}

/// Resumes a job that was claimed again. Results whose write was in progress are either listed by
/// now or queued to be written again.
void resume_reclaimed_job(gateway& self, owned_job& job, std::vector<rollout::sample_result> listed,
                          std::uint64_t owner_revision)
{
    job.owner_revision = owner_revision;
    job.write_running = false;
    job.finished.insert(job.finished.begin(), std::make_move_iterator(job.writing.begin()),
                        std::make_move_iterator(job.writing.end()));
    job.writing.clear();
    note_nothing_unlisted(job);
    apply_listed_results(self, job, std::move(listed));
    std::erase_if(job.finished,
                  [&](rollout::sample_result const& result) { return is_listed(job, result); });
    base::log_line(
        base::log_level::info, "job_reclaimed",
        {{"job", job.record.id}, {"listed", static_cast<std::int64_t>(job.listed.size())}});
    write_pending_results(self);
}

void start_loaded(gateway& self, rollout::job_record const& record, stored_job stored,
                  std::uint64_t owner_revision)
{
    auto job = make_owned_job(self, record, std::move(stored.spec), owner_revision);
    for (auto& [id, progress] : stored.progress)
    {
        auto const it = job.index_by_id.find(id);
        if (it != job.index_by_id.end())
        {
            job.samples[it->second] = std::move(progress);
            // The text waits from now on for an upstream that may continue it.
            job.samples[it->second].not_before = base::mono_now();
        }
    }
    apply_listed_results(self, job, std::move(stored.results));
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
    schedule_sample_dispatch(self);
}

/// Whether the entry that makes this process the owner of a job ended with its lease.
bool is_outdated(gateway const& self, std::uint64_t lease, std::string const& job)
{
    if (lease == self.lease.id)
    {
        return false;
    }
    base::log_line(base::log_level::warning, "job_ownership_lost",
                   {{"job", job}, {"reason", "the lease of the owner entry has ended"}});
    return true;
}

/// Whether the job is known to have ended, which may happen while it is being loaded.
bool is_ended(gateway const& self, std::string const& id)
{
    auto const known = self.shared.records.find(id);
    return known != self.shared.records.end() && known->second.record.ended;
}

} // namespace

bool owns(gateway const& self, owned_job const& job, base::mono_time now)
{
    return job.owner_revision != 0 && has_lease(self, now);
}

bool knows_stored_results(gateway const& self, owned_job const& job, base::mono_time now)
{
    return owns(self, job, now) && now < job.listed_complete_until;
}

void note_nothing_unlisted(owned_job& job)
{
    job.listed_complete_until = base::mono_time::max();
    job.may_be_stored = false;
}

void update_times(gateway const& self, owned_job& job)
{
    if (!job.has_route_times)
    {
        set_times(self, job);
    }
}

void start_submitted_job(gateway& self, rollout::job_record const& record, rollout::batch_job spec,
                         owner_entry const& entry)
{
    if (is_outdated(self, entry.lease, record.id))
    {
        return;
    }
    // A read of the shared entries may have started the job before the outcome of its submission
    // arrived. Its samples are running by then, and their progress must not be reset.
    auto const added = self.jobs.try_emplace(record.id);
    if (!added.second)
    {
        return;
    }
    added.first->second = make_owned_job(self, record, std::move(spec), entry.revision);
    schedule_sample_dispatch(self);
}

void load_and_start_job(gateway& self, rollout::job_record const& record,
                        std::uint64_t owner_revision)
{
    if (!self.loading_jobs.insert(record.id).second)
    {
        return;
    }
    load_job(self, record.id,
             [&self, record, owner_revision, lease = self.lease.id](base::result<stored_job> stored)
             {
                 self.loading_jobs.erase(record.id);
                 if (is_outdated(self, lease, record.id))
                 {
                     return;
                 }
                 if (!stored)
                 {
                     // The next reconciliation finds that this process owns a job that it does
                     // not run, and loads it again.
                     base::log_line(base::log_level::warning, "job_not_loaded",
                                    {{"job", record.id}, {"reason", stored.error().message}});
                     return;
                 }
                 if (!self.jobs.contains(record.id) && !is_ended(self, record.id))
                 {
                     start_loaded(self, record, std::move(*stored), owner_revision);
                 }
             });
}

void start_assigned_job(gateway& self, rollout::job_record const& record,
                        std::uint64_t owner_revision)
{
    // An unknown record belongs to a new job, whose entries were all written at one revision.
    self.shared.records.try_emplace(record.id, stored_record{record, owner_revision});
    // The choice of an owner for the next job must count the samples of this one.
    auto& owner = self.shared.owners[record.id];
    if (owner.revision < owner_revision)
    {
        owner = {rollout::owner_key(record.id), own_mark(self), owner_revision};
    }
    bool const may_run = !self.stopping && has_lease(self, base::mono_now());
    if (may_run && !self.jobs.contains(record.id) && !is_ended(self, record.id))
    {
        load_and_start_job(self, record, owner_revision);
    }
}

void reload_job(gateway& self, owned_job& job, std::uint64_t owner_revision)
{
    job.claiming = true;
    load_job(self, job.record.id,
             [&self, id = job.record.id, owner_revision,
              lease = self.lease.id](base::result<stored_job> stored)
             {
                 auto const it = self.jobs.find(id);
                 if (it == self.jobs.end())
                 {
                     return;
                 }
                 it->second.claiming = false;
                 if (stored && !is_outdated(self, lease, id))
                 {
                     resume_reclaimed_job(self, it->second, std::move(stored->results),
                                          owner_revision);
                 }
             });
}

void stop_job(gateway& self, std::string const& id)
{
    withdraw_job_work(self, id);
    self.jobs.erase(id);
}

void mark_job_ended(gateway& self, std::string const& id)
{
    auto const known = self.shared.records.find(id);
    if (known != self.shared.records.end())
    {
        known->second.record.ended = true;
    }
    stop_job(self, id);
}

} // namespace gooseberrywood::gateway
