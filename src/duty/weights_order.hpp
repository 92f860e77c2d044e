#ifndef GOOSEBERRYWOOD_DUTY_WEIGHTS_ORDER_HPP
#define GOOSEBERRYWOOD_DUTY_WEIGHTS_ORDER_HPP

#include "duty/authority.hpp"

#include <cstdint>
#include <string>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief Order to an upstream to load weights.
struct weights_order
{
    std::string upstream;
    /// `IP:port`
    std::string address;
    std::string model;
    std::uint32_t version = 0;
    /// Number of orders that the upstream must have accepted before, or else it rejects this one,
    /// so that a delayed order can't override a newer one.
    std::uint64_t accepted = 0;
};

/// \ingroup duty
/// \brief Outcome of an order.
enum class order_outcome : std::uint8_t
{
    accepted,
    /// The upstream already has the version.
    already_holds,
    /// Another order is in progress, or the number of accepted orders differs.
    conflict,
    /// Rejected, because a leader with a higher fencing token has given an order.
    fenced,
    refused,
    /// The answer was lost; the order may still be executed.
    unknown,
    not_sent,
};

} // namespace gooseberrywood::duty

#endif
