#include "gateway/result_writer.hpp"

#include "base/log.hpp"
#include "gateway/job_running.hpp"
#include "gateway/measure.hpp"
#include "rollout/result_chunk.hpp"
#include "rollout/saved_progress.hpp"
#include "rollout/store_keys.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

// Results that finish within this time of each other are stored with one call.
constexpr base::duration batch_delay = std::chrono::milliseconds(250);
constexpr base::duration retry_delay = std::chrono::milliseconds(150);

// Interval between saves of the progress of long samples. A sample counts as long from this number
// of events on, which takes about a second.
constexpr base::duration save_interval = std::chrono::milliseconds(1200);
constexpr std::size_t min_events_to_save = 24;

// Stays below the store's limit for the size of a value; a single result may be larger.
constexpr std::size_t max_chunk_bytes = 400'000;

// A stored result that a caller was shown must be shown to all callers a second later.
constexpr base::duration unknown_write_tolerance = std::chrono::milliseconds(500);

owned_job* find_job(gateway& self, std::string const& id)
{
    auto const it = self.jobs.find(id);
    return it != self.jobs.end() ? &it->second : nullptr;
}

void write_results(gateway& self, owned_job& job);

void schedule_write(gateway& self, owned_job& job, base::duration delay)
{
    job.write_timer = base::at(base::mono_now() + delay,
                               [&self, id = job.record.id]
                               {
                                   if (auto* const found = find_job(self, id))
                                   {
                                       found->write_timer.reset();
                                       write_results(self, *found);
                                   }
                               });
}

void fill_next_chunk(owned_job& job)
{
    std::size_t bytes = 0;
    auto end = job.finished.begin();
    for (; end != job.finished.end() && (bytes == 0 || bytes < max_chunk_bytes); ++end)
    {
        bytes += end->text.size() + 1;
    }
    job.writing.assign(std::make_move_iterator(job.finished.begin()), std::make_move_iterator(end));
    job.finished.erase(job.finished.begin(), end);
}

/// Records that an attempt to store results begins. Other gateways may show them from now on.
void note_write_begins(owned_job& job)
{
    job.listed_complete_until =
        std::min(job.listed_complete_until, base::mono_now() + unknown_write_tolerance);
}

/// Records that an attempt to store results failed.
void note_write_failed(owned_job& job, base::result_code code)
{
    bool const not_executed =
        code == base::result_code::store_unavailable || code == base::result_code::lease_lost;
    job.may_be_stored = job.may_be_stored || !not_executed;
    if (!job.may_be_stored)
    {
        note_nothing_unlisted(job);
    }
}

void mark_listed(gateway& self, owned_job& job)
{
    for (auto const& result : job.writing)
    {
        auto& sample = job.samples[job.index_by_id.at(result.id)];
        sample.phase = rollout::sample_phase::listed;
        sample.text = {};
        sample.text_share.reset();
        count_sample(self, result.done,
                     base::duration((base::wall_now() - job.record.submitted_at).count()));
        base::log_line(base::log_level::info, "sample_listed",
                       {{"job", job.record.id},
                        {"sample", result.id},
                        {"done", std::int64_t{result.done}},
                        {"events", static_cast<std::int64_t>(sample.events)},
                        {"late_us", (base::mono_now() - job.due).count()}});
    }
    std::move(job.writing.begin(), job.writing.end(), std::back_inserter(job.listed));
    job.writing.clear();
    note_nothing_unlisted(job);
    if (!job.finished.empty())
    {
        schedule_write(self, job, batch_delay);
    }
}

void on_written(gateway& self, std::string const& id, std::uint64_t owner_revision,
                base::result<store::commit> const& outcome)
{
    auto* const job = find_job(self, id);
    if (job == nullptr || job->owner_revision != owner_revision)
    {
        return;
    }
    job->write_running = false;
    if (!outcome)
    {
        base::log_line(
            base::log_level::warning, "results_not_stored",
            {{"job", id}, {"code", outcome.error().code}, {"reason", outcome.error().message}});
        note_write_failed(*job, outcome.error().code);
        schedule_write(self, *job, retry_delay);
        return;
    }
    if (outcome->committed)
    {
        mark_listed(self, *job);
        return;
    }
    // The owner entry was removed or names another process; the next reconciliation decides.
    base::log_line(base::log_level::warning, "job_ownership_lost", {{"job", id}});
    job->owner_revision = 0;
}

/// Progress of long samples, whose loss would make the job late, and of samples that failed. Empty
/// until the next save is due.
rollout::saved_progress progress_to_save(owned_job& job, base::mono_time now)
{
    rollout::saved_progress progress;
    if (now < job.next_save_at)
    {
        return progress;
    }
    std::size_t bytes = 0;
    for (auto const& [id, index] : job.index_by_id)
    {
        auto const& sample = job.samples[index];
        bool const is_long =
            rollout::has_resumable_text(sample) && sample.events >= min_events_to_save;
        bool const is_saved = is_long || rollout::has_failures_to_save(sample);
        if (is_saved && bytes + sample.text.size() < max_chunk_bytes)
        {
            bytes += sample.text.size();
            progress[id] = sample;
        }
    }
    job.next_save_at = now + save_interval;
    return progress;
}

void write_results(gateway& self, owned_job& job)
{
    if (job.write_running || !owns(self, job, base::mono_now()))
    {
        return;
    }
    if (job.writing.empty())
    {
        fill_next_chunk(job);
    }
    auto const progress = progress_to_save(job, base::mono_now());
    if (job.writing.empty() && progress.empty())
    {
        return;
    }
    job.write_running = true;
    store::transaction write;
    write.expected.push_back({rollout::owner_key(job.record.id), job.owner_revision});
    if (!job.writing.empty())
    {
        note_write_begins(job);
        write.writes.push_back({rollout::result_key(job.record.id, job.listed.size()),
                                rollout::encode_results(job.writing), 0});
    }
    if (!progress.empty())
    {
        write.writes.push_back(
            {rollout::progress_key(job.record.id), rollout::encode_progress(progress), 0});
    }
    self.store.commit_transaction(write, base::mono_now() + store_call_timeout,
                                  [&self, id = job.record.id, revision = job.owner_revision](
                                      base::result<store::commit> const& outcome)
                                  { on_written(self, id, revision, outcome); });
}

} // namespace

void finish_sample(gateway& self, owned_job& job, std::size_t index, bool done)
{
    auto& progress = job.samples[index];
    progress.phase = rollout::sample_phase::finished;
    rollout::sample_result result;
    result.id = job.spec.samples[index].id;
    result.done = done;
    if (done)
    {
        result.text = progress.text;
        result.versions.assign(progress.versions.begin(), progress.versions.end());
        result.score = progress.score;
    }
    job.finished.push_back(std::move(result));
    if (!job.write_running && !job.write_timer)
    {
        schedule_write(self, job, batch_delay);
    }
}

void write_pending_results(gateway& self)
{
    for (auto& [id, job] : self.jobs)
    {
        bool const has_pending =
            !job.finished.empty() || !job.writing.empty() || base::mono_now() >= job.next_save_at;
        if (has_pending && !job.write_running && !job.write_timer)
        {
            write_results(self, job);
        }
    }
}

} // namespace gooseberrywood::gateway
