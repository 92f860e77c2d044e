#ifndef GOOSEBERRYWOOD_BUNDLE_TRAINER_HPP
#define GOOSEBERRYWOOD_BUNDLE_TRAINER_HPP

#include <cstdint>
#include <string>

namespace gooseberrywood::bundle
{

/// \ingroup bundle
/// \brief A trainer and the bound on the staleness of its samples.
struct trainer
{
    std::string name;
    std::string team;
    std::string route;
    /// Weight versions that a sample may lie behind the trainer's newest.
    std::uint32_t max_staleness_versions = 1;
};

} // namespace gooseberrywood::bundle

#endif
