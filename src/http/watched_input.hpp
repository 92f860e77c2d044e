#ifndef GOOSEBERRYWOOD_HTTP_WATCHED_INPUT_HPP
#define GOOSEBERRYWOOD_HTTP_WATCHED_INPUT_HPP

#include "base/glib_ptr.hpp"

#include <gio/gio.h>

#include <memory>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Makes a stream that reads from a socket's stream and records that its end was read.
[[nodiscard]] base::object_ptr<GInputStream> make_watched_input(GInputStream* socket_input);

/// \ingroup http
/// \brief The record of a stream: true once its end was read.
/// \param stream a stream of `make_watched_input`, or a filter above one.
/// \returns nullptr for any other stream.
[[nodiscard]] std::shared_ptr<bool const> find_end_record(GInputStream* stream);

} // namespace gooseberrywood::http

#endif
