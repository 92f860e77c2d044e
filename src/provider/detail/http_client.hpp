#ifndef GOOSEBERRYWOOD_PROVIDER_DETAIL_HTTP_CLIENT_HPP
#define GOOSEBERRYWOOD_PROVIDER_DETAIL_HTTP_CLIENT_HPP

#include "base/glib_ptr.hpp"
#include "base/time.hpp"
#include "provider/call_kind.hpp"
#include "provider/done.hpp"

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace gooseberrywood::provider::detail
{

/// What the errors of a call are.
struct call_errors
{
    /// The call certainly had no effect.
    base::result_code unavailable = base::result_code::store_unavailable;
    /// The answer is lost; calls that only read have `unavailable` here.
    base::result_code unknown = base::result_code::store_unavailable;
    /// The platform answered 409 or 412.
    base::result_code conflict = base::result_code::platform_refused;
};

struct http_call
{
    call_kind kind{};
    std::string method = "GET";
    /// Path and query.
    std::string path;
    std::string body;
    base::mono_time deadline{};
    call_errors errors;
};

struct http_answer
{
    std::string body;
    /// Header X-Revision, or 0.
    std::uint64_t revision = 0;
};

/// Connections to the platform.
struct http_client
{
    base::object_ptr<SoupSession> session;
    std::string url;
    call_counts calls{};
};

[[nodiscard]] base::result<std::shared_ptr<http_client>> make_http_client(std::string_view url);

/// Sends a call. The answer has status 200; 204 becomes `timeout`, all others errors of the call.
void send(std::shared_ptr<http_client> const& client, http_call call, done<http_answer> then);

/// Parses a JSON answer.
/// \param read takes the value out of the parsed JSON; it may throw JSON exceptions.
template <class T, class Read>
[[nodiscard]] base::result<T> parse_answer(base::result<http_answer> const& answer,
                                           call_errors const& errors, Read const& read)
{
    if (!answer)
    {
        return tl::unexpected(answer.error());
    }
    try
    {
        return read(nlohmann::json::parse(answer->body));
    }
    catch (nlohmann::json::exception const& wrong)
    {
        // The platform did answer 200, so a call that writes has probably taken effect.
        return base::fail(errors.unknown, std::string("malformed answer: ") + wrong.what());
    }
}

} // namespace gooseberrywood::provider::detail

#endif
