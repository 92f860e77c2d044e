#ifndef GOOSEBERRYWOOD_FLEET_TEAM_HPP
#define GOOSEBERRYWOOD_FLEET_TEAM_HPP

#include <string>
#include <vector>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief A team and the keys of its callers.
struct team
{
    std::string name;
    std::vector<std::string> keys;
};

} // namespace gooseberrywood::fleet

#endif
