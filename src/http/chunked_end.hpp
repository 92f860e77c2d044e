#ifndef GOOSEBERRYWOOD_HTTP_CHUNKED_END_HPP
#define GOOSEBERRYWOOD_HTTP_CHUNKED_END_HPP

#include <libsoup/soup.h>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Whether an answer that libsoup reports as whole lacks its last chunk. libsoup takes a
/// connection that ends between two chunks for the end of the answer.
/// \param answer the stream of the answer, read to its end.
[[nodiscard]] bool lacks_last_chunk(SoupMessage* message, GInputStream* answer);

} // namespace gooseberrywood::http

#endif
