#include "gateway/training_steps.hpp"

namespace gooseberrywood::gateway
{

std::vector<rollout::training_step> training_steps(gateway const& self)
{
    fleet::route const defaults;
    auto const now = base::wall_now();
    std::vector<rollout::training_step> steps;
    steps.reserve(self.shared.records.size());
    for (auto const& [id, stored] : self.shared.records)
    {
        // There may be many records of ended jobs; their routes don't matter.
        auto const* const route = stored.record.ended ? nullptr : route_of(self, stored.record);
        auto const run_target = (route != nullptr ? *route : defaults).run_target;
        steps.push_back(rollout::step_of(stored.record, run_target, now));
    }
    return steps;
}

} // namespace gooseberrywood::gateway
