#ifndef GOOSEBERRYWOOD_HTTP_HPP
#define GOOSEBERRYWOOD_HTTP_HPP

/// \defgroup http http
/// \brief HTTP based on libsoup: a server with bounded input and a client with streamed responses.

#include "http/call.hpp"
#include "http/error_response.hpp"
#include "http/exchange.hpp"
#include "http/limits.hpp"
#include "http/response_limits.hpp"
#include "http/server.hpp"

#endif
