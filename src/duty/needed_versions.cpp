#include "duty/needed_versions.hpp"

#include <algorithm>

namespace gooseberrywood::duty
{

needed_versions needed_by(std::span<rollout::training_step const> steps)
{
    auto const intervals = rollout::median_intervals(steps);
    needed_versions needed;
    for (auto const& step : steps)
    {
        if (!step.is_open)
        {
            continue;
        }
        auto const [it, is_first] =
            needed.try_emplace(step.model, needed_version{step.least_version, step.least_version});
        it->second.any_step = std::min(it->second.any_step, step.least_version);
        it->second.every_step = std::max(it->second.every_step, step.least_version);
    }
    for (auto& [model, versions] : needed)
    {
        auto const it = intervals.find(model);
        versions.step_interval = it != intervals.end() ? it->second : base::duration{};
    }
    return needed;
}

} // namespace gooseberrywood::duty
