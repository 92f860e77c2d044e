#ifndef GOOSEBERRYWOOD_HTTP_WATCHED_INPUT_HPP
#define GOOSEBERRYWOOD_HTTP_WATCHED_INPUT_HPP

#include "base/glib_ptr.hpp"
#include "http/response_framing.hpp"

#include <gio/gio.h>

#include <memory>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Makes a stream that reads from a socket's stream and checks the framing of the responses.
/// Reading fails at the first byte that breaks it: G_IO_ERROR_INVALID_DATA if the peer sent what is
/// not HTTP/1.1, G_IO_ERROR_PARTIAL_INPUT if it closed the connection too early.
[[nodiscard]] base::object_ptr<GInputStream> make_watched_input(GInputStream* socket_input);

/// \ingroup http
/// \brief The framing that a stream checks.
/// \param stream a stream of `make_watched_input`, or a filter above one.
/// \returns nullptr for any other stream.
[[nodiscard]] std::shared_ptr<response_framing> find_framing(GInputStream* stream);

} // namespace gooseberrywood::http

#endif
