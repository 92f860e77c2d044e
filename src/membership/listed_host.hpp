#ifndef GOOSEBERRYWOOD_MEMBERSHIP_LISTED_HOST_HPP
#define GOOSEBERRYWOOD_MEMBERSHIP_LISTED_HOST_HPP

#include <string>

namespace gooseberrywood::membership
{

/// \ingroup membership
/// \brief An upstream host in the platform's list.
struct listed_host
{
    std::string host;
    std::string domain;
    bool leaving = false;
};

} // namespace gooseberrywood::membership

#endif
