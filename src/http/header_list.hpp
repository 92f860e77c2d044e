#ifndef GOOSEBERRYWOOD_HTTP_HEADER_LIST_HPP
#define GOOSEBERRYWOOD_HTTP_HEADER_LIST_HPP

#include "http/exchange.hpp"

#include <vector>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Headers in order of first occurrence. Values of a repeated header are joined by commas.
[[nodiscard]] std::vector<header> header_list(SoupMessageHeaders* headers);

} // namespace gooseberrywood::http

#endif
