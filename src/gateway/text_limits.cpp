#include "gateway/text_limits.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

namespace gooseberrywood::gateway
{

namespace
{

std::optional<std::uint64_t> find_run(gateway const& self, std::string const& job_id,
                                      std::size_t index)
{
    auto const it =
        std::find_if(self.runs.begin(), self.runs.end(),
                     [&](auto const& entry)
                     { return entry.second.job_id == job_id && entry.second.index == index; });
    return it != self.runs.end() ? std::optional(it->first) : std::nullopt;
}

void on_evicted(gateway& self, std::string const& job_id, std::size_t index)
{
    auto const job = self.jobs.find(job_id);
    if (job == self.jobs.end())
    {
        return;
    }
    rollout::discard_text(job->second.samples[index]);
    if (auto const run_number = find_run(self, job_id, index))
    {
        abort_run(self, *run_number, "the texts of all samples use up the memory for them");
    }
}

} // namespace

bool count_text_bytes(gateway& self, sample_run const& run, run_context const& context,
                      std::size_t bytes)
{
    auto& progress = *context.progress;
    if (!progress.text_share)
    {
        progress.text_share = base::open_share(
            self.response_limits.budget, self.settings.max_text_bytes,
            [&self, job_id = run.job_id, index = run.index] { on_evicted(self, job_id, index); });
        // A text that another process began.
        bytes += progress.text.size();
    }
    return base::grow(*progress.text_share, bytes) == base::growth::granted;
}

void retain_text(rollout::sample_progress& progress)
{
    if (progress.text_share)
    {
        base::retain(*progress.text_share);
    }
}

} // namespace gooseberrywood::gateway
