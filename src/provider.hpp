#ifndef GOOSEBERRYWOOD_PROVIDER_HPP
#define GOOSEBERRYWOOD_PROVIDER_HPP

/// \defgroup provider provider
/// \brief What the surrounding platform offers, as plain structs of functions, and their HTTP form.
///
/// Only this module knows the protocol that docs/platform.md describes. All functions are
/// asynchronous; each call has a deadline. The top-level folder `platform/` is another thing: the
/// adapter for the machines of our users.

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
