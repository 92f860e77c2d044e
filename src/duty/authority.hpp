#ifndef GOOSEBERRYWOOD_DUTY_AUTHORITY_HPP
#define GOOSEBERRYWOOD_DUTY_AUTHORITY_HPP

#include <cstdint>
#include <string>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief Under which name and fencing token a leader acts.
struct authority
{
    std::string holder;
    /// Grows with each change of the leader.
    std::uint64_t fencing = 0;
};

} // namespace gooseberrywood::duty

#endif
