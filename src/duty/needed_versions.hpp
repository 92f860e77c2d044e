#ifndef GOOSEBERRYWOOD_DUTY_NEEDED_VERSIONS_HPP
#define GOOSEBERRYWOOD_DUTY_NEEDED_VERSIONS_HPP

#include "base/time.hpp"
#include "rollout/training_step.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief Versions of the weights of a model that its open steps need.
struct needed_version
{
    /// An upstream with an older version can't serve any open step.
    std::uint32_t any_step = 0;
    /// An upstream with an older version can't serve every open step.
    std::uint32_t every_step = 0;
    /// Median time between two steps of the model; 0 while unknown.
    base::duration step_interval{};
};

/// \ingroup duty
/// \brief By model. A model without an entry has no open steps.
using needed_versions = std::map<std::string, needed_version, std::less<>>;

/// \ingroup duty
/// \brief Finds the versions that the open steps of each model need.
[[nodiscard]] needed_versions needed_by(std::span<rollout::training_step const> steps);

} // namespace gooseberrywood::duty

#endif
