#ifndef GOOSEBERRYWOOD_HTTP_STATUS_HPP
#define GOOSEBERRYWOOD_HTTP_STATUS_HPP

#include <cstdint>

/// \ingroup http
/// \brief HTTP status codes.
namespace gooseberrywood::http::status
{

inline constexpr std::uint16_t switching_protocols = 101;
inline constexpr std::uint16_t ok = 200;
inline constexpr std::uint16_t accepted = 202;
inline constexpr std::uint16_t no_content = 204;
inline constexpr std::uint16_t not_modified = 304;
inline constexpr std::uint16_t bad_request = 400;
inline constexpr std::uint16_t unauthorized = 401;
inline constexpr std::uint16_t not_found = 404;
inline constexpr std::uint16_t request_timeout = 408;
inline constexpr std::uint16_t conflict = 409;
inline constexpr std::uint16_t precondition_failed = 412;
inline constexpr std::uint16_t content_too_large = 413;
inline constexpr std::uint16_t misdirected = 421;
inline constexpr std::uint16_t unprocessable = 422;
inline constexpr std::uint16_t too_many_requests = 429;
inline constexpr std::uint16_t head_too_large = 431;
inline constexpr std::uint16_t internal_error = 500;
inline constexpr std::uint16_t bad_gateway = 502;
inline constexpr std::uint16_t unavailable = 503;
inline constexpr std::uint16_t timeout = 504;

/// \brief Whether an upstream may give the status code: it has one of the classes that HTTP defines
/// (RFC 9110, section 15). A response with another one is malformed.
[[nodiscard]] constexpr bool is_valid(std::uint16_t code)
{
    return code >= 100 && code < 600;
}

/// \brief Whether the status code is 2xx.
[[nodiscard]] constexpr bool is_success(std::uint16_t code)
{
    return code >= 200 && code < 300;
}

/// \brief Whether the status code reports a server error.
[[nodiscard]] constexpr bool is_server_error(std::uint16_t code)
{
    return code >= 500;
}

} // namespace gooseberrywood::http::status

#endif
