#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_KEPT_CONNECTION_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_KEPT_CONNECTION_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberrywood::test
{

/// What came back for a request on a kept connection.
struct kept_answer
{
    /// 0 when the connection ended before the answer was complete.
    unsigned status = 0;
    bool announces_close = false;
    std::string body;
};

/// How a connection ended.
enum class connection_end
{
    still_open,
    closed,
    reset,
};

/// A connection of a caller, on plain sockets, so that nothing is sent again and no end of the
/// connection is hidden.
struct kept_connection
{
    explicit kept_connection(std::uint16_t port);
    kept_connection(kept_connection const&) = delete;
    kept_connection& operator=(kept_connection const&) = delete;
    ~kept_connection();

    /// False when the gateway took no connection.
    [[nodiscard]] bool is_open() const;

    /// Sends bytes; what comes of them shows in the answer.
    void send(std::string_view bytes) const;

    /// Reads one answer with a `Content-Length`.
    [[nodiscard]] kept_answer read_answer();

    [[nodiscard]] kept_answer exchange(std::string_view request);

    /// Waits until the gateway ends the connection.
    [[nodiscard]] connection_end wait_end(std::chrono::milliseconds within) const;

    int descriptor = -1;
    std::string unread;
};

} // namespace gooseberrywood::test

#endif
