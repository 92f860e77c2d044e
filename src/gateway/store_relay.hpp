#ifndef GOOSEBERRYWOOD_GATEWAY_STORE_RELAY_HPP
#define GOOSEBERRYWOOD_GATEWAY_STORE_RELAY_HPP

#include "base/event_source.hpp"
#include "store/direct_path.hpp"
#include "store/transport.hpp"
#include "wire/connection.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace gooseberrywood::gateway
{

struct gateway;

/// \ingroup gateway
/// \brief A store call that another gateway makes for this one.
struct relayed_call
{
    /// Peer address of that gateway.
    std::string address;
    std::function<void(http::fetch_outcome)> done;
    base::event_source timer;
};

/// \ingroup gateway
/// \brief State of the calls to the store, which are relayed through other gateways while this one
/// can't reach the store.
struct store_relay
{
    store::transport direct;
    /// Health of the direct path to the store.
    store::direct_path path;
    std::uint64_t last_number = 0;
    /// Relayed calls that are not answered yet, by number.
    std::map<std::uint64_t, relayed_call> pending;
    /// Number of relayed calls that failed; selects the next gateway to relay through.
    std::size_t failed_calls = 0;
};

/// \ingroup gateway
/// \brief Makes a transport that calls the store directly or through another gateway. A direct call
/// that failed and certainly had no effect is repeated once through another gateway.
[[nodiscard]] store::transport make_relayed_transport(gateway& self);

/// \ingroup gateway
/// \brief Makes a store call on behalf of another gateway and sends it the result.
void relay_store_call(gateway& self, wire::connection& from, wire::store_call const& call);

/// \ingroup gateway
/// \brief Completes the relayed call that an answer belongs to.
void handle_store_answer(gateway& self, wire::store_answer const& answer);

/// \ingroup gateway
/// \brief Fails the pending calls relayed through a gateway that can't be reached any more.
void fail_relayed_calls(gateway& self, std::string const& relay_address);

} // namespace gooseberrywood::gateway

#endif
