#ifndef GOOSEBERRYWOOD_HTTP_RESPONSE_LIMITS_HPP
#define GOOSEBERRYWOOD_HTTP_RESPONSE_LIMITS_HPP

#include "base/byte_budget.hpp"

#include <cstddef>
#include <memory>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Default maximum of one response.
inline constexpr std::size_t default_max_response_bytes = 32 * 1024 * 1024;

/// \ingroup http
/// \brief Default memory of a process.
inline constexpr std::size_t default_memory_bytes = 256 * 1024 * 1024;

/// \ingroup http
/// \brief Limits of the responses to the calls of a session. A response counts with its heads,
/// framing and trailers, from its first byte until what was made of it is released.
struct response_limits
{
    /// Maximum of one response.
    std::size_t max_response_bytes = default_max_response_bytes;
    /// Maximum of all responses together. Sessions may share it.
    std::shared_ptr<base::byte_budget> budget;
};

/// \ingroup http
/// \brief Creates the limits of a process.
/// \param max_response_bytes maximum of one response.
/// \param memory_bytes memory that the process may use. A quarter of it may hold responses, and
/// half of that a single one.
[[nodiscard]] response_limits
make_response_limits(std::size_t max_response_bytes = default_max_response_bytes,
                     std::size_t memory_bytes = default_memory_bytes);

/// \ingroup http
/// \brief As above, with a budget that others count in as well.
[[nodiscard]] response_limits make_response_limits(std::size_t max_response_bytes,
                                                   std::shared_ptr<base::byte_budget> budget);

} // namespace gooseberrywood::http

#endif
