#include "http/rejection.hpp"

#include "http/error_response.hpp"

#include <fmt/format.h>
#include <libsoup/soup.h>

namespace gooseberrywood::http
{

std::string encode(rejection const& answer)
{
    auto const body = error_json(answer.error);
    auto const seconds = std::chrono::duration<double>(answer.retry_after).count();
    auto const retry_after =
        seconds > 0 ? fmt::format("Retry-After: {:.3f}\r\n", seconds) : std::string();
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n"
                       "{}Connection: close\r\n\r\n{}",
                       answer.status, soup_status_get_phrase(answer.status), body.size(),
                       retry_after, body);
}

} // namespace gooseberrywood::http
