#include "rollout/model_demand.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <numeric>
#include <span>
#include <vector>

namespace gooseberrywood::rollout
{

namespace
{

// Averages over several steps, because the steps of one trainer vary in size.
constexpr std::size_t steps_in_mean = 3;

// The records do not show how much of a step is done. On average, half of it is left.
constexpr double outstanding_fraction = 0.5;

using step_list = std::vector<training_step const*>;

double sum_of_tokens(std::span<training_step const* const> steps)
{
    return std::accumulate(steps.begin(), steps.end(), 0.0,
                           [](double total, training_step const* step)
                           { return total + step->expected_tokens; });
}

/// Work left in the open steps before the newest one, if one of them is late. Steps that are in
/// time overlap without being behind.
double outstanding_work(std::span<training_step const* const> newest_first)
{
    step_list open;
    std::copy_if(newest_first.begin() + 1, newest_first.end(), std::back_inserter(open),
                 [](training_step const* step) { return step->is_open; });
    bool const is_behind = std::any_of(open.begin(), open.end(),
                                       [](training_step const* step) { return step->is_late; });
    return is_behind ? outstanding_fraction * sum_of_tokens(open) : 0;
}

double demand_of(step_list& steps)
{
    std::sort(steps.begin(), steps.end(),
              [](training_step const* a, training_step const* b)
              { return a->submitted_at > b->submitted_at; });
    std::span const newest_first(steps);
    auto const recent = newest_first.first(std::min(steps.size(), steps_in_mean));
    return sum_of_tokens(recent) / static_cast<double>(recent.size()) +
           outstanding_work(newest_first);
}

} // namespace

model_demand recent_demand(std::span<training_step const> steps)
{
    std::map<std::string_view, step_list> by_model;
    for (auto const& step : steps)
    {
        by_model[step.model].push_back(&step);
    }
    model_demand demand;
    for (auto& [model, recent] : by_model)
    {
        demand[std::string(model)] = demand_of(recent);
    }
    return demand;
}

} // namespace gooseberrywood::rollout
