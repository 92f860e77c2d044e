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
/// \brief A whole answer.
struct fetched_response
{
    std::uint16_t status = 0;
    std::vector<header> headers;
    std::string body;
};

/// \ingroup http
/// \brief A call that failed.
struct failed_call
{
    base::error why;
    /// False only if no byte of the request left this process.
    bool sent = false;
    /// The deadline passed, rather than the connection broke.
    bool timed_out = false;
};

/// \ingroup http
/// \brief Outcome of a fetch.
using fetch_outcome = tl::expected<fetched_response, failed_call>;

/// \ingroup http
/// \brief A call whose answer is collected. Dropping the shared_ptr cancels it.
struct fetch
{
    std::shared_ptr<call> running;
    std::string body;
    std::size_t max_body_bytes = 0;
    base::event_source timer;
    std::function<void(fetch_outcome)> done;
};

/// \ingroup http
/// \brief Starts a call and reports its whole answer, or that it failed, once.
/// \param deadline the call is cancelled then.
/// \param max_body_bytes a longer answer is a failure.
[[nodiscard]] std::shared_ptr<fetch> start_fetch(SoupSession* session, call_request const& what,
                                                 base::mono_time deadline,
                                                 std::size_t max_body_bytes,
                                                 std::function<void(fetch_outcome)> done);

/// \ingroup http
/// \brief All headers of an answer; of one that occurs several times the values are joined.
[[nodiscard]] std::vector<header> response_headers(SoupMessage* of);

/// \ingroup http
/// \brief Whether two names are of the same header: their case does not matter.
[[nodiscard]] bool equal_header_names(std::string_view a, std::string_view b);

/// \ingroup http
/// \brief The value of a header, with any case of its name.
[[nodiscard]] std::optional<std::string_view> find_header(std::vector<header> const& in,
                                                          std::string_view name);

} // namespace gooseberrywood::http

#endif
