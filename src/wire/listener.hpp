#ifndef GOOSEBERRYWOOD_WIRE_LISTENER_HPP
#define GOOSEBERRYWOOD_WIRE_LISTENER_HPP

#include "base/event_source.hpp"
#include "base/glib_ptr.hpp"
#include "base/result.hpp"

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace gooseberrywood::wire
{

/// \ingroup wire
/// \brief A listening TCP socket on the main loop.
struct listener
{
    base::object_ptr<GSocket> socket;
    std::function<void(base::object_ptr<GSocket>)> on_accepted;
    base::event_source acceptable;
    /// Fires when accepting is tried again after it failed.
    base::event_source retry;
    std::uint16_t port = 0;
};

/// \ingroup wire
/// \brief Starts to listen.
/// \param address `IP:port`; port 0 lets the system choose one, see `listener::port`.
/// \returns `io_error` if the address can't be used.
[[nodiscard]] base::result<std::unique_ptr<listener>>
listen(std::string_view address, std::function<void(base::object_ptr<GSocket>)> on_accepted);

} // namespace gooseberrywood::wire

#endif
