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

/// Result codes that the failures of a call map to.
struct call_error_codes
{
    /// The call is known to have had no effect.
    base::result_code unavailable = base::result_code::store_unavailable;
    /// The response was lost. For read-only calls, this is the same code as `unavailable`.
    base::result_code unknown = base::result_code::store_unavailable;
    /// The platform responded with status 409 or 412.
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
    call_error_codes errors;
};

struct http_response
{
    std::string body;
    /// Value of the header X-Revision; 0 when it is absent.
    std::uint64_t revision = 0;
};

/// HTTP session with the platform.
struct http_client
{
    base::object_ptr<SoupSession> session;
    std::string url;
    call_counts calls{};
};

[[nodiscard]] base::result<std::shared_ptr<http_client>> make_http_client(std::string_view url);

/// Sends a call. `on_done` receives the response when its status is 200. Status 204 becomes
/// `timeout`; other statuses become the error codes of the call or `platform_refused`.
void send(std::shared_ptr<http_client> const& client, http_call call, done<http_response> on_done);

/// Parses a JSON response.
/// \param read extracts the value from the parsed JSON; it may throw JSON exceptions.
template <class T, class Read>
[[nodiscard]] base::result<T> parse_response(base::result<http_response> const& response,
                                             call_error_codes const& errors, Read const& read)
{
    if (!response)
    {
        return tl::unexpected(response.error());
    }
    try
    {
        return read(nlohmann::json::parse(response->body));
    }
    catch (nlohmann::json::exception const& failure)
    {
        // The platform responded with status 200, so a write has probably taken effect.
        return base::fail(errors.unknown,
                          std::string("malformed response from the platform: ") + failure.what());
    }
}

} // namespace gooseberrywood::provider::detail

#endif
