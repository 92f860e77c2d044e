#ifndef GOOSEBERRYWOOD_PROVIDER_HPP
#define GOOSEBERRYWOOD_PROVIDER_HPP

/// \defgroup provider provider
/// \brief Interface to the services of the surrounding platform, as structs of functions, and its
/// implementation over HTTP.
///
/// Only this module implements the protocol described in docs/platform.md. All functions are
/// asynchronous, and each call has a deadline. The top-level folder `platform/` is unrelated: it
/// holds the adapter for the machines of our users.

#include "provider/call_kind.hpp"
#include "provider/done.hpp"
#include "provider/host_list.hpp"
#include "provider/http_services.hpp"
#include "provider/orders.hpp"
#include "provider/services.hpp"
#include "provider/store.hpp"
#include "provider/usage_sink.hpp"
#include "provider/weight_store.hpp"

#endif
