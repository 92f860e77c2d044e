#ifndef GOOSEBERRYWOOD_GATEWAY_PENDING_MESSAGES_HPP
#define GOOSEBERRYWOOD_GATEWAY_PENDING_MESSAGES_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Numbers of the pending messages that were sent to a gateway.
/// \param pending by number; each has a member `address`, the peer address of the gateway.
template <class Message>
[[nodiscard]] std::vector<std::uint64_t>
numbers_sent_to(std::map<std::uint64_t, Message> const& pending, std::string_view address)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, message] : pending)
    {
        if (message.address == address)
        {
            numbers.push_back(number);
        }
    }
    return numbers;
}

} // namespace gooseberrywood::gateway

#endif
