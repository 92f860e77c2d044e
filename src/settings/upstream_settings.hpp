#ifndef GOOSEBERRYWOOD_SETTINGS_UPSTREAM_SETTINGS_HPP
#define GOOSEBERRYWOOD_SETTINGS_UPSTREAM_SETTINGS_HPP

#include <string>

namespace gooseberrywood::settings
{

/// \ingroup settings
/// \brief An upstream beside an agent.
struct upstream_settings
{
    std::string name;
    /// Route of the bundle that this upstream serves.
    std::string route;
    /// Base URL, `http://IP:port`.
    std::string url;
    /// Whether the upstream itself refuses orders with an old fencing number.
    bool checks_fencing = false;
};

} // namespace gooseberrywood::settings

#endif
