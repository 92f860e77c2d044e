#ifndef GOOSEBERRYWOOD_ROLLOUT_REWARD_CALL_HPP
#define GOOSEBERRYWOOD_ROLLOUT_REWARD_CALL_HPP

#include <string>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief The request that scores a sample when its text is complete.
struct reward_call
{
    std::string id;
    std::string host;
    std::string path;
    std::string body;
};

} // namespace gooseberrywood::rollout

#endif
