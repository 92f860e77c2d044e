#include "base/ip_port.hpp"

#include <gio/gio.h>

#include <charconv>

namespace gooseberrywood::base
{

std::optional<ip_port> ip_port_from(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const port_text = text.substr(colon + 1);
    auto const* end = port_text.data() + port_text.size();
    std::uint16_t port = 0;
    auto const [at, failure] = std::from_chars(port_text.data(), end, port);
    if (failure != std::errc{} || at != end)
    {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    bool const bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    std::string ip(host);
    // Without brackets, the last group of an IPv6 address could not be told from a port. A NUL
    // byte would hide what follows it from GLib.
    bool const has_colon = ip.find(':') != std::string::npos;
    bool const has_nul = ip.find('\0') != std::string::npos;
    if (has_colon != bracketed || has_nul || g_hostname_is_ip_address(ip.c_str()) == FALSE)
    {
        return std::nullopt;
    }
    return ip_port{std::move(ip), port};
}

std::optional<ip_port> ip_port_from_url(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    if (!text.starts_with(scheme))
    {
        return std::nullopt;
    }
    auto const address = ip_port_from(text.substr(scheme.size()));
    return address && address->port != 0 ? address : std::nullopt;
}

} // namespace gooseberrywood::base
