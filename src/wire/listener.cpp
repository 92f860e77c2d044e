#include "wire/listener.hpp"

#include "base/log.hpp"

#include <fmt/format.h>

#include <string>
#include <utility>

namespace gooseberrywood::wire
{

namespace
{

constexpr int backlog = 1024;

// Without a free descriptor, accepting fails until one is closed.
constexpr base::duration accept_retry_delay = std::chrono::milliseconds(100);

void wait_acceptable(listener& waiting);

gboolean on_acceptable(GSocket* socket, GIOCondition, gpointer data)
{
    auto& accepting = *static_cast<listener*>(data);
    GError* failure = nullptr;
    base::object_ptr<GSocket> accepted(g_socket_accept(socket, nullptr, &failure));
    if (accepted)
    {
        accepting.on_accepted(std::move(accepted));
        return G_SOURCE_CONTINUE;
    }
    base::glib_error_ptr const owned(failure);
    if (g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != 0)
    {
        return G_SOURCE_CONTINUE;
    }
    base::log_line(base::log_level::warning, "accept_failed",
                   {{"message", std::string_view(failure->message)}});
    accepting.retry = base::at(base::mono_now() + accept_retry_delay,
                               [&accepting] { wait_acceptable(accepting); });
    return G_SOURCE_REMOVE;
}

void wait_acceptable(listener& waiting)
{
    GSource* const source = g_socket_create_source(waiting.socket.get(), G_IO_IN, nullptr);
    GSocketSourceFunc const call = on_acceptable;
    g_source_set_callback(source, G_SOURCE_FUNC(call), &waiting, nullptr);
    g_source_attach(source, nullptr);
    waiting.acceptable.reset(source);
}

base::result<std::unique_ptr<listener>> listen_error(std::string_view address, GError* failure)
{
    base::glib_error_ptr const owned(failure);
    return base::fail(base::result_code::io_error,
                      fmt::format("can't listen on {}: {}", address, failure->message));
}

} // namespace

base::result<std::unique_ptr<listener>>
listen(std::string_view address, std::function<void(base::object_ptr<GSocket>)> on_accepted)
{
    GError* failure = nullptr;
    base::object_ptr<GSocketConnectable> const parsed(
        g_network_address_parse(std::string(address).c_str(), 0, &failure));
    if (!parsed)
    {
        return listen_error(address, failure);
    }
    auto* const network = G_NETWORK_ADDRESS(parsed.get());
    base::object_ptr<GSocketAddress> const bind_to(g_inet_socket_address_new_from_string(
        g_network_address_get_hostname(network), g_network_address_get_port(network)));
    if (!bind_to)
    {
        return base::fail(base::result_code::io_error,
                          fmt::format("can't listen on {}: not an IP address and port", address));
    }
    auto made = std::make_unique<listener>();
    made->on_accepted = std::move(on_accepted);
    made->socket.reset(g_socket_new(g_socket_address_get_family(bind_to.get()),
                                    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &failure));
    if (!made->socket || g_socket_bind(made->socket.get(), bind_to.get(), TRUE, &failure) == 0)
    {
        return listen_error(address, failure);
    }
    g_socket_set_listen_backlog(made->socket.get(), backlog);
    g_socket_set_blocking(made->socket.get(), FALSE);
    if (g_socket_listen(made->socket.get(), &failure) == 0)
    {
        return listen_error(address, failure);
    }
    base::object_ptr<GSocketAddress> const bound(
        g_socket_get_local_address(made->socket.get(), nullptr));
    made->port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound.get()));
    wait_acceptable(*made);
    return made;
}

} // namespace gooseberrywood::wire
