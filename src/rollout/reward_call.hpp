#ifndef GOOSEBERRYWOOD_ROLLOUT_REWARD_CALL_HPP
#define GOOSEBERRYWOOD_ROLLOUT_REWARD_CALL_HPP

#include <string>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Request that scores a sample once its text is complete.
struct reward_call
{
    std::string id;
    std::string host;
    std::string path;
    std::string body;
};

} // namespace gooseberrywood::rollout

#endif
