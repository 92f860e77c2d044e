#include "rollout/model_demand.hpp"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace gooseberrywood::rollout
{

namespace
{

// Averages over several steps, because the steps of one trainer vary in size.
constexpr std::size_t steps_in_mean = 3;

double mean_of_recent_steps(std::vector<job_record const*>& jobs)
{
    std::sort(jobs.begin(), jobs.end(),
              [](job_record const* a, job_record const* b)
              { return a->submitted_at > b->submitted_at; });
    jobs.resize(std::min(jobs.size(), steps_in_mean));
    auto const sum = std::accumulate(jobs.begin(), jobs.end(), 0.0,
                                     [](double total, job_record const* job)
                                     { return total + static_cast<double>(job->expected_tokens); });
    return sum / static_cast<double>(jobs.size());
}

} // namespace

model_demand recent_demand(std::span<job_record const* const> records)
{
    std::map<std::string_view, std::vector<job_record const*>> by_model;
    for (auto const* record : records)
    {
        by_model[record->model].push_back(record);
    }
    model_demand demand;
    for (auto& [model, jobs] : by_model)
    {
        demand[std::string(model)] = mean_of_recent_steps(jobs);
    }
    return demand;
}

} // namespace gooseberrywood::rollout
