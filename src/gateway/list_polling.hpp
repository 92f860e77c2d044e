#ifndef GOOSEBERRYWOOD_GATEWAY_LIST_POLLING_HPP
#define GOOSEBERRYWOOD_GATEWAY_LIST_POLLING_HPP

#include "gateway/gateway.hpp"
#include "store/item.hpp"

#include <cstddef>
#include <functional>
#include <limits>
#include <string_view>
#include <vector>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Parameters of a poller: the list to read, the interval, and the handler of the result.
struct poll_plan
{
    /// Prefix of the list's keys in the store.
    std::string_view prefix;
    std::function<base::duration()> interval;
    /// Oldest read that is accepted from another gateway.
    base::duration max_age{};
    /// Whether this process must read the store itself even when another gateway reads for it.
    std::function<bool()> reads_store;
    /// Receives the whole list after each accepted read.
    /// \param read_at the list was read at this time or later.
    std::function<void(std::vector<store::item> const&, base::mono_time read_at)> on_list;
    /// Values are cut at this length. No longer value can be used, and it would take room in the
    /// frames to other gateways.
    std::size_t max_value_bytes = std::numeric_limits<std::size_t>::max();
};

/// \ingroup gateway
/// \brief Starts to poll a list: from the gateway that reads it for this one, or from the store
/// while there is no such gateway.
void start_polling(gateway& self, poller& state, poll_plan const& plan);

/// \ingroup gateway
/// \brief Reads a list from the store now instead of at the next interval.
void read_list_now(gateway& self, poller& state, poll_plan const& plan);

} // namespace gooseberrywood::gateway

#endif
