#ifndef GOOSEBERRYWOOD_DUTY_AUTHORITY_HPP
#define GOOSEBERRYWOOD_DUTY_AUTHORITY_HPP

#include <cstdint>
#include <string>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief Name and fencing token with which a leader identifies itself in its calls.
struct authority
{
    std::string holder;
    /// Fencing token; increases with each change of the leader.
    std::uint64_t fencing = 0;
};

} // namespace gooseberrywood::duty

#endif
