#ifndef GOOSEBERRYWOOD_CONFIG_ANNOUNCEMENT_HPP
#define GOOSEBERRYWOOD_CONFIG_ANNOUNCEMENT_HPP

#include "base/time.hpp"
#include "config/intent.hpp"

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief An announced change that may still be written.
struct announcement
{
    intent made;
    /// Evidence from this time on that the change is not written means that it never will be.
    base::mono_time clear_after{};
};

} // namespace gooseberrywood::config

#endif
