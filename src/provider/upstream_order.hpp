#ifndef GOOSEBERRYWOOD_PROVIDER_UPSTREAM_ORDER_HPP
#define GOOSEBERRYWOOD_PROVIDER_UPSTREAM_ORDER_HPP

#include <cstdint>
#include <string>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief Orders a number of upstreams of a route in a failure domain.
///
/// It names the number that shall run, not a change of it, so that an order whose answer is lost
/// can be sent again.
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
