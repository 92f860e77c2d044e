#ifndef GOOSEBERRYWOOD_PLATFORM_HPP
#define GOOSEBERRYWOOD_PLATFORM_HPP

/// \defgroup platform platform
/// \brief What the surrounding platform offers, as plain structs of functions, and their HTTP form.
///
/// No other module knows the platform's protocol. All functions are asynchronous; each call has a
/// deadline. docs/platform.md describes the protocol.

#include "platform/call_kind.hpp"
#include "platform/done.hpp"
#include "platform/host_list.hpp"
#include "platform/http_services.hpp"
#include "platform/orders.hpp"
#include "platform/services.hpp"
#include "platform/store.hpp"
#include "platform/usage_sink.hpp"
#include "platform/weight_store.hpp"

#endif
