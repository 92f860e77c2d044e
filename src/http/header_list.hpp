#ifndef GOOSEBERRYWOOD_HTTP_HEADER_LIST_HPP
#define GOOSEBERRYWOOD_HTTP_HEADER_LIST_HPP

#include "http/exchange.hpp"

#include <vector>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Headers in their order; the values of one that occurs several times are joined by commas.
[[nodiscard]] std::vector<header> header_list(SoupMessageHeaders* from);

} // namespace gooseberrywood::http

#endif
