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

double mean_of_recent_steps(std::vector<training_step const*>& steps)
{
    std::sort(steps.begin(), steps.end(),
              [](training_step const* a, training_step const* b)
              { return a->submitted_at > b->submitted_at; });
    steps.resize(std::min(steps.size(), steps_in_mean));
    auto const sum = std::accumulate(steps.begin(), steps.end(), 0.0,
                                     [](double total, training_step const* step)
                                     { return total + step->expected_tokens; });
    return sum / static_cast<double>(steps.size());
}

} // namespace

model_demand recent_demand(std::span<training_step const> steps)
{
    std::map<std::string_view, std::vector<training_step const*>> by_model;
    for (auto const& step : steps)
    {
        by_model[step.model].push_back(&step);
    }
    model_demand demand;
    for (auto& [model, recent] : by_model)
    {
        demand[std::string(model)] = mean_of_recent_steps(recent);
    }
    return demand;
}

} // namespace gooseberrywood::rollout
