#ifndef GOOSEBERRYWOOD_HTTP_FETCH_HPP
#define GOOSEBERRYWOOD_HTTP_FETCH_HPP

#include "base/event_source.hpp"
#include "base/result.hpp"
#include "base/time.hpp"
#include "http/call.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief A complete response.
struct fetched_response
{
    std::uint16_t status = 0;
    std::vector<header> headers;
    std::string body;
    /// Counts the bytes of the response as long as it is held.
    std::shared_ptr<base::byte_share> share = {};
};

/// \ingroup http
/// \brief A call that failed.
struct failed_call
{
    base::error why;
    /// False only if no byte of the request was sent.
    bool sent = false;
    /// True if the deadline passed, false if the connection failed.
    bool timed_out = false;
};

/// \ingroup http
/// \brief Outcome of a fetch.
using fetch_outcome = tl::expected<fetched_response, failed_call>;

/// \ingroup http
/// \brief A call that collects the complete response. Releasing the last shared_ptr cancels it.
struct fetch
{
    std::shared_ptr<call> active_call;
    std::string body;
    std::size_t max_body_bytes = 0;
    base::event_source timer;
    std::function<void(fetch_outcome)> done;
};

/// \ingroup http
/// \brief Starts a call and reports its complete response or its failure once.
/// \param deadline time at which the call is canceled.
/// \param max_body_bytes maximum size of the response body; a longer one is a failure.
/// \param done receives the outcome.
/// \param may_send see `call_handlers::may_send`.
[[nodiscard]] std::shared_ptr<fetch> start_fetch(SoupSession* session, call_request const& request,
                                                 base::mono_time deadline,
                                                 std::size_t max_body_bytes,
                                                 std::function<void(fetch_outcome)> done,
                                                 std::function<bool()> may_send = {});

/// \ingroup http
/// \brief Whether a byte of the request may have been sent.
[[nodiscard]] bool is_sent(fetch const& pending);

/// \ingroup http
/// \brief All headers of a response. Values of a repeated header are joined by commas.
[[nodiscard]] std::vector<header> response_headers(SoupMessage* message);

/// \ingroup http
/// \brief Whether two header names are equal, ignoring case.
[[nodiscard]] bool equal_header_names(std::string_view a, std::string_view b);

/// \ingroup http
/// \brief Value of the first header with this name, ignoring case.
[[nodiscard]] std::optional<std::string_view> find_header(std::vector<header> const& headers,
                                                          std::string_view name);

} // namespace gooseberrywood::http

#endif
