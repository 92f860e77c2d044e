#ifndef GOOSEBERRYWOOD_PROVIDER_HOST_INFO_HPP
#define GOOSEBERRYWOOD_PROVIDER_HOST_INFO_HPP

#include <string>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief A host in the host list of the platform.
struct host_info
{
    std::string host;
    std::string domain;
    /// Numeric IP address.
    std::string address;
    /// `IP:port` where the host's agent accepts frames; empty on a host without an agent.
    std::string wire_address;
    /// Whether the platform is about to withdraw the host.
    bool leaving = false;

    friend bool operator==(host_info const&, host_info const&) = default;
};

} // namespace gooseberrywood::provider

#endif
