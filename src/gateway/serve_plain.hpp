#ifndef GOOSEBERRYWOOD_GATEWAY_SERVE_PLAIN_HPP
#define GOOSEBERRYWOOD_GATEWAY_SERVE_PLAIN_HPP

#include "base/time.hpp"
#include "fleet/route.hpp"
#include "gateway/gateway.hpp"
#include "http/exchange.hpp"
#include "platform/caller_head.hpp"

#include <memory>
#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief A plain request of a caller: one that is not a batch job.
struct plain_request
{
    std::shared_ptr<http::exchange> exchange;
    platform::caller_head head;
    fleet::route route;
    /// Empty on open routes.
    std::string team;
    base::mono_time arrived_at{};
};

/// \ingroup gateway
/// \brief Routes a plain request to an upstream and answers the caller. A request that takes up a
/// stream goes only to the software version that began the stream.
void serve_plain(gateway& self, plain_request const& request);

} // namespace gooseberrywood::gateway

#endif
