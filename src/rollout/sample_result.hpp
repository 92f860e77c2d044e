#ifndef GOOSEBERRYWOOD_ROLLOUT_SAMPLE_RESULT_HPP
#define GOOSEBERRYWOOD_ROLLOUT_SAMPLE_RESULT_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Final result of a sample. It never changes once it is stored.
struct sample_result
{
    std::string id;
    /// False when the sample was given up.
    bool done = false;
    /// Concatenated data of all events, separated by line feeds.
    std::string text;
    /// Versions of the weights that generated an event of the text, ascending.
    std::vector<std::uint32_t> versions;
    /// Response to the reward call; empty without one.
    std::string score;
};

} // namespace gooseberrywood::rollout

#endif
