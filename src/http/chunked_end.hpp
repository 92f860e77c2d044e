#ifndef GOOSEBERRYWOOD_HTTP_CHUNKED_END_HPP
#define GOOSEBERRYWOOD_HTTP_CHUNKED_END_HPP

#include <libsoup/soup.h>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Whether a response that libsoup reports as complete lacks its last chunk. libsoup treats
/// a connection that closes between two chunks as the end of the response.
/// \param response_stream stream of the response, read to its end.
[[nodiscard]] bool lacks_last_chunk(SoupMessage* message, GInputStream* response_stream);

} // namespace gooseberrywood::http

#endif
