#include "gateway/hand_over.hpp"

#include "base/log.hpp"
#include "gateway/job_work.hpp"
#include "rollout/result_chunk.hpp"
#include "rollout/saved_progress.hpp"
#include "rollout/store_keys.hpp"

#include <memory>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

void add_result_chunk(store::transaction& transaction, std::string const& id, std::size_t position,
                      std::vector<rollout::sample_result> const& results)
{
    if (!results.empty())
    {
        transaction.writes.push_back(
            {rollout::result_key(id, position), rollout::encode_results(results), 0});
    }
}

/// Builds the transaction that stores the results and unfinished texts of a job and releases its
/// ownership.
store::transaction hand_over_transaction(owned_job const& job)
{
    auto const& id = job.record.id;
    rollout::saved_progress unfinished;
    for (auto const& [sample_id, index] : job.index_by_id)
    {
        auto const& sample = job.samples[index];
        if (rollout::has_resumable_text(sample) || rollout::has_failures_to_save(sample))
        {
            unfinished[sample_id] = sample;
        }
    }
    store::transaction write;
    write.expected.push_back({rollout::owner_key(id), job.owner_revision});
    // Same key and content as a write of these results that may still be in progress.
    add_result_chunk(write, id, job.listed.size(), job.writing);
    add_result_chunk(write, id, job.listed.size() + job.writing.size(), job.finished);
    write.writes.push_back({rollout::progress_key(id), rollout::encode_progress(unfinished), 0});
    write.removals.push_back(rollout::owner_key(id));
    base::log_line(
        base::log_level::info, "job_handed_over",
        {{"job", id},
         {"unlisted", static_cast<std::int64_t>(job.writing.size() + job.finished.size())},
         {"unfinished", static_cast<std::int64_t>(unfinished.size())}});
    return write;
}

} // namespace

void hand_over_jobs(gateway& self, std::function<void()> then)
{
    auto const remaining = std::make_shared<std::size_t>(self.jobs.size());
    if (*remaining == 0)
    {
        then();
        return;
    }
    auto const on_stored = [remaining, then = std::move(then)](auto const&)
    {
        if (--*remaining == 0)
        {
            then();
        }
    };
    auto const deadline = base::mono_now() + store_call_timeout;
    for (auto& [id, job] : self.jobs)
    {
        withdraw_job_work(self, id);
        if (job.owner_revision == 0)
        {
            // The state in memory may be older than what another owner has listed.
            on_stored(store::commit{});
            continue;
        }
        self.store.commit_transaction(hand_over_transaction(job), deadline, on_stored);
    }
    self.jobs.clear();
}

} // namespace gooseberrywood::gateway
