#ifndef GOOSEBERRYWOOD_DUTY_WEIGHTS_ORDER_HPP
#define GOOSEBERRYWOOD_DUTY_WEIGHTS_ORDER_HPP

#include "duty/authority.hpp"

#include <cstdint>
#include <string>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief An order to an upstream to load weights.
struct weights_order
{
    std::string upstream;
    /// `IP:port`
    std::string address;
    std::string model;
    std::uint32_t version = 0;
    /// The order is carried out only if the upstream has accepted this many orders before. A late
    /// order then can't undo a newer one.
    std::uint64_t accepted = 0;
};

/// \ingroup duty
/// \brief What became of an order.
enum class order_outcome : std::uint8_t
{
    accepted,
    already_holds,
    /// Another order is in progress, or the number of accepted orders differs.
    conflict,
    /// A leader with a higher fencing token has given an order.
    fenced,
    refused,
    /// The answer is lost; the order may still be carried out.
    unknown,
    not_sent,
};

} // namespace gooseberrywood::duty

#endif
