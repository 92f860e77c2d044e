#ifndef GOOSEBERRYWOOD_SETTINGS_AGENT_ADDRESS_HPP
#define GOOSEBERRYWOOD_SETTINGS_AGENT_ADDRESS_HPP

#include <string>

namespace gooseberrywood::settings
{

/// \ingroup settings
/// \brief Address of an agent that the platform's host list does not contain; used by entries.
struct agent_address
{
    std::string host;
    /// `IP:port`.
    std::string address;
};

} // namespace gooseberrywood::settings

#endif
