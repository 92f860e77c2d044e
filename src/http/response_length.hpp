#ifndef GOOSEBERRYWOOD_HTTP_RESPONSE_LENGTH_HPP
#define GOOSEBERRYWOOD_HTTP_RESPONSE_LENGTH_HPP

#include <libsoup/soup.h>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Whether the length that a response states can't be read, or differs from another one that
/// it states. libsoup takes some such values for a length.
[[nodiscard]] bool has_unreadable_length(SoupMessageHeaders* headers);

} // namespace gooseberrywood::http

#endif
