#ifndef GOOSEBERRYWOOD_PROVIDER_UPSTREAM_ORDER_HPP
#define GOOSEBERRYWOOD_PROVIDER_UPSTREAM_ORDER_HPP

#include <cstdint>
#include <string>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief Order for a number of upstreams of a route in a failure domain.
///
/// The order states the total number of upstreams that shall run, not a difference, so it is
/// idempotent and can be sent again when the response is lost.
struct upstream_order
{
    std::string id;
    std::uint64_t fencing = 0;
    std::string domain;
    std::string route;
    std::uint32_t upstreams = 0;

    friend bool operator==(upstream_order const&, upstream_order const&) = default;
};

} // namespace gooseberrywood::provider

#endif
