#include "base/glib_ptr.hpp"
#include "base/ip_port.hpp"
#include "base/result.hpp"
#include "cli/commands.hpp"
#include "cli/report.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

DEFINE_string(address, "", "admin address of the process, IP:port");

namespace gooseberrywood::cli
{

namespace
{

// A process that answers later than this is blocked: it builds the state dump in memory.
constexpr guint timeout_s = 5;

struct bytes_release
{
    void operator()(GBytes* bytes) const
    {
        g_bytes_unref(bytes);
    }
};

base::error to_error(std::string const& url, GError* failure)
{
    base::glib_error_ptr const owned(failure);
    bool const timed_out = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_TIMED_OUT) != FALSE;
    return {timed_out ? base::result_code::timeout : base::result_code::connection_lost,
            fmt::format("no answer from {}: {}", url, owned->message)};
}

base::result<std::string> get(std::string const& url)
{
    // Without a proxy resolver, a proxy in the environment is not asked for numeric addresses.
    base::object_ptr<SoupSession> const session(
        soup_session_new_with_options("timeout", timeout_s, "proxy-resolver", nullptr, nullptr));
    base::object_ptr<SoupMessage> const message(soup_message_new(SOUP_METHOD_GET, url.c_str()));
    GError* failure = nullptr;
    std::unique_ptr<GBytes, bytes_release> const body(
        soup_session_send_and_read(session.get(), message.get(), nullptr, &failure));
    if (body == nullptr)
    {
        return tl::unexpected(to_error(url, failure));
    }
    auto const status = static_cast<int>(soup_message_get_status(message.get()));
    if (status != SOUP_STATUS_OK)
    {
        return base::fail(status == SOUP_STATUS_NOT_FOUND ? base::result_code::not_found
                                                          : base::result_code::io_error,
                          fmt::format("{} answered with HTTP status {}", url, status));
    }
    gsize length = 0;
    auto const* data = static_cast<char const*>(g_bytes_get_data(body.get(), &length));
    return std::string(data, length);
}

} // namespace

int state_command(std::span<char const* const> /*args*/)
{
    auto const address = base::ip_port_from(FLAGS_address);
    if (!address || address->port == 0)
    {
        return report({base::result_code::usage,
                       "state needs --address with a numeric address and a port, IP:port"});
    }
    auto const url = fmt::format("http://{}/state", FLAGS_address);
    auto const answer = get(url);
    if (!answer)
    {
        return report(answer.error());
    }
    auto const state = nlohmann::ordered_json::parse(*answer, nullptr, false);
    if (state.is_discarded())
    {
        return report({base::result_code::io_error, fmt::format("{} sent no JSON", url)});
    }
    fmt::print("{}\n", state.dump(2));
    return 0;
}

} // namespace gooseberrywood::cli
