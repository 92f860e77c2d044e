#ifndef GOOSEBERRYWOOD_HTTP_WATCHED_INPUT_HPP
#define GOOSEBERRYWOOD_HTTP_WATCHED_INPUT_HPP

#include "base/glib_ptr.hpp"
#include "http/message_framing.hpp"

#include <gio/gio.h>

#include <functional>
#include <memory>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief The error with which reading fails.
[[nodiscard]] GIOErrorEnum to_error(fault_kind kind);

/// \ingroup http
/// \brief Makes a stream that reads from a socket's stream and checks the framing of the messages.
/// Reading fails at the first byte that breaks it.
/// \param on_malformed called once, before reading fails for any other reason than that the peer
/// closed the connection too early; may be empty.
/// \sa to_error
[[nodiscard]] base::object_ptr<GInputStream>
make_watched_input(GInputStream* socket_input, message_kind kind,
                   std::function<void(framing_fault const&)> on_malformed = {});

/// \ingroup http
/// \brief As above, for the input of a connection. The connection is closed with the result.
[[nodiscard]] base::object_ptr<GIOStream>
make_watched_connection(GIOStream* connection, message_kind kind,
                        std::function<void(framing_fault const&)> on_malformed = {});

/// \ingroup http
/// \brief The framing that a stream checks.
/// \param stream a stream of `make_watched_input`, or a filter above one.
/// \returns nullptr for any other stream.
[[nodiscard]] std::shared_ptr<message_framing> find_framing(GInputStream* stream);

} // namespace gooseberrywood::http

#endif
