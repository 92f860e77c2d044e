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
/// \brief A call that another gateway makes for this one.
struct relayed_call
{
    /// Address of that gateway.
    std::string helper;
    std::function<void(http::fetch_outcome)> then;
    base::event_source timer;
};

/// \ingroup gateway
/// \brief Calls to the store, through other gateways while this one does not reach it.
struct store_relay
{
    store::transport direct;
    store::direct_path path;
    std::uint64_t calls = 0;
    std::map<std::uint64_t, relayed_call> pending;
    /// Calls that no other gateway could make either.
    std::size_t failures = 0;
};

/// \ingroup gateway
/// \brief The way of the gateway's calls to the store. A call that certainly had no effect here is
/// made once more through another gateway.
[[nodiscard]] store::transport make_relayed_transport(gateway& self);

/// \ingroup gateway
/// \brief Makes a call for another gateway and answers it.
void relay_store_call(gateway& self, wire::connection& from, wire::store_call const& what);

/// \ingroup gateway
/// \brief Takes the answer to a call that another gateway has made.
void take_store_answer(gateway& self, wire::store_answer const& got);

/// \ingroup gateway
/// \brief Ends the calls that a gateway makes for this one: it can't be reached any more.
void fail_relayed_calls(gateway& self, std::string const& helper);

} // namespace gooseberrywood::gateway

#endif
