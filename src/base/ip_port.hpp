#ifndef GOOSEBERRYWOOD_BASE_IP_PORT_HPP
#define GOOSEBERRYWOOD_BASE_IP_PORT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief A numeric IP address and a port.
struct ip_port
{
    /// IPv6 addresses without brackets.
    std::string ip;
    std::uint16_t port = 0;

    friend bool operator==(ip_port const&, ip_port const&) = default;
};

/// \brief Reads `IP:port`; an IPv6 address stands in brackets, as in `[::1]:80`.
/// \returns nothing when the text is anything else. Port 0 is accepted.
[[nodiscard]] std::optional<ip_port> ip_port_from(std::string_view text);

/// \brief Reads a base URL, `http://IP:port` without path.
/// \returns nothing when the text is anything else or the port is 0.
[[nodiscard]] std::optional<ip_port> ip_port_from_url(std::string_view text);

} // namespace gooseberrywood::base

#endif
