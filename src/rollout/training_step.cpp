#include "rollout/training_step.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace gooseberrywood::rollout
{

namespace
{

// Trainers give up after 1.6 times the time in which results are due. A step whose end was lost
// counts as open up to this multiple.
constexpr int max_open_run_targets = 2;

base::duration median_difference(std::vector<base::wall_time>& times)
{
    std::sort(times.begin(), times.end());
    std::vector<base::duration> differences;
    for (std::size_t i = 1; i < times.size(); ++i)
    {
        differences.push_back(times[i] - times[i - 1]);
    }
    auto const middle = differences.begin() + static_cast<std::ptrdiff_t>(differences.size() / 2);
    std::nth_element(differences.begin(), middle, differences.end());
    return *middle;
}

} // namespace

training_step step_of(job_record const& record, base::duration run_target, base::wall_time now)
{
    auto const age = now - record.submitted_at;
    bool const is_open = !record.ended && age < max_open_run_targets * run_target;
    return {record.model,
            record.submitted_at,
            is_open,
            is_open && age >= run_target,
            record.least_version,
            static_cast<double>(record.expected_tokens)};
}

step_intervals median_intervals(std::span<training_step const> steps)
{
    std::map<std::string, std::vector<base::wall_time>> times;
    for (auto const& step : steps)
    {
        times[step.model].push_back(step.submitted_at);
    }
    step_intervals intervals;
    for (auto& [model, submitted] : times)
    {
        if (submitted.size() > 1)
        {
            intervals[model] = median_difference(submitted);
        }
    }
    return intervals;
}

} // namespace gooseberrywood::rollout
