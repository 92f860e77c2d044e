#ifndef GOOSEBERRYWOOD_PROVIDER_HOST_INFO_HPP
#define GOOSEBERRYWOOD_PROVIDER_HOST_INFO_HPP

#include <string>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief A host of the platform's list.
struct host_info
{
    std::string host;
    std::string domain;
    /// Numeric IP address.
    std::string address;
    /// `IP:port` where the host's agent accepts frames; empty on a host without an agent.
    std::string wire_address;
    /// The platform is about to take the host back.
    bool leaving = false;

    friend bool operator==(host_info const&, host_info const&) = default;
};

} // namespace gooseberrywood::provider

#endif
