#ifndef GOOSEBERRYWOOD_HTTP_DESCRIPTOR_LIMITS_HPP
#define GOOSEBERRYWOOD_HTTP_DESCRIPTOR_LIMITS_HPP

#include <cstddef>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief How the descriptors of a process are divided. The rest is for other processes of the
/// service, the store and files.
struct descriptor_limits
{
    /// Connections of callers: three tenths, since each request may need two upstreams.
    std::size_t callers = 0;
    /// Connections to upstreams: half.
    std::size_t upstreams = 0;
    /// Connections of one server that only the platform and operators call.
    std::size_t service = 0;
};

/// \ingroup http
/// \brief Divides descriptors.
/// \param configured number that the process may open; 0 for what the system allows it. The
/// system's limit is never exceeded.
[[nodiscard]] descriptor_limits divide_descriptors(std::size_t configured = 0);

} // namespace gooseberrywood::http

#endif
