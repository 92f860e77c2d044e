#ifndef GOOSEBERRYWOOD_SETTINGS_UPSTREAM_SETTINGS_HPP
#define GOOSEBERRYWOOD_SETTINGS_UPSTREAM_SETTINGS_HPP

#include <string>

namespace gooseberrywood::settings
{

/// \ingroup settings
/// \brief Settings of an upstream to which an agent sends requests.
struct upstream_settings
{
    std::string name;
    /// Route of the bundle that this upstream serves.
    std::string route;
    /// Base URL, `http://IP:port`.
    std::string url;
    /// Whether the upstream itself rejects requests with an outdated fencing token.
    bool checks_fencing = false;
};

} // namespace gooseberrywood::settings

#endif
