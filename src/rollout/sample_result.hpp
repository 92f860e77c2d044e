#ifndef GOOSEBERRYWOOD_ROLLOUT_SAMPLE_RESULT_HPP
#define GOOSEBERRYWOOD_ROLLOUT_SAMPLE_RESULT_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief A listed result. Once stored it never changes.
struct sample_result
{
    std::string id;
    /// False: the sample was given up.
    bool done = false;
    /// Data of all events, separated by line feeds.
    std::string text;
    /// Versions of the weights that generated an event of the text, ascending.
    std::vector<std::uint32_t> versions;
    /// What the reward call returned; empty without one.
    std::string score;
};

} // namespace gooseberrywood::rollout

#endif
