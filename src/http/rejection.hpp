#ifndef GOOSEBERRYWOOD_HTTP_REJECTION_HPP
#define GOOSEBERRYWOOD_HTTP_REJECTION_HPP

#include "base/error.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <string>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Answer to a request that is not read to its end, and therefore never runs.
struct rejection
{
    std::uint16_t status = 0;
    base::error error;
    /// When the client may try again; zero to leave `Retry-After` out.
    base::duration retry_after{};
};

/// \ingroup http
/// \brief Encodes the whole response. It announces that the connection is closed.
[[nodiscard]] std::string encode(rejection const& answer);

} // namespace gooseberrywood::http

#endif
