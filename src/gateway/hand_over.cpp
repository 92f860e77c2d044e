#include "gateway/hand_over.hpp"

#include "base/log.hpp"
#include "gateway/sample_runs.hpp"
#include "rollout/result_chunk.hpp"
#include "rollout/saved_progress.hpp"
#include "rollout/store_keys.hpp"

#include <memory>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

void write_chunk(store::transaction& into, std::string const& id, std::size_t position,
                 std::vector<rollout::sample_result> const& results)
{
    if (!results.empty())
    {
        into.writes.push_back(
            {rollout::result_key(id, position), rollout::encode_results(results), 0});
    }
}

/// Leaves everything that is known of a job in the store and gives up the ownership.
store::transaction hand_over_write(owned_job const& job)
{
    auto const& id = job.record.id;
    rollout::saved_progress left;
    for (auto const& [sample_id, index] : job.index_by_id)
    {
        if (rollout::has_resumable_text(job.samples[index]))
        {
            left[sample_id] = job.samples[index];
        }
    }
    store::transaction write;
    write.expected.push_back({rollout::owner_key(id), job.owner_revision});
    // The same as in a write of them that may still be under way.
    write_chunk(write, id, job.listed.size(), job.writing);
    write_chunk(write, id, job.listed.size() + job.writing.size(), job.finished);
    write.writes.push_back({rollout::progress_key(id), rollout::encode_progress(left), 0});
    write.removals.push_back(rollout::owner_key(id));
    base::log_line(
        base::log_level::info, "job_handed_over",
        {{"job", id},
         {"unlisted", static_cast<std::int64_t>(job.writing.size() + job.finished.size())},
         {"unfinished", static_cast<std::int64_t>(left.size())}});
    return write;
}

} // namespace

void hand_over_jobs(gateway& self, std::function<void()> then)
{
    auto const waiting = std::make_shared<std::size_t>(self.jobs.size());
    if (*waiting == 0)
    {
        then();
        return;
    }
    auto const one_done = [waiting, then = std::move(then)](auto const&)
    {
        if (--*waiting == 0)
        {
            then();
        }
    };
    auto const deadline = base::mono_now() + store_call_timeout;
    for (auto& [id, job] : self.jobs)
    {
        cancel_runs(self, id);
        if (job.owner_revision == 0)
        {
            // What this process holds may be older than what another owner has listed.
            one_done(store::commit{});
            continue;
        }
        self.store.commit_transaction(hand_over_write(job), deadline, one_done);
    }
    self.jobs.clear();
}

} // namespace gooseberrywood::gateway
