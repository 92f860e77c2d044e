#ifndef GOOSEBERRYWOOD_GATEWAY_PERMITS_HPP
#define GOOSEBERRYWOOD_GATEWAY_PERMITS_HPP

#include "base/event_source.hpp"
#include "fleet/permit_bucket.hpp"
#include "platform/upstream_calls.hpp"
#include "rollout/permit_issuer.hpp"
#include "wire/connection.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace gooseberrywood::gateway
{

struct gateway;

/// \ingroup gateway
/// \brief A permit that another gateway was asked for and has not answered yet.
struct pending_permit
{
    std::string upstream;
    /// Peer address of the issuer.
    std::string address;
    base::mono_time asked_at{};
    base::event_source timer;
};

/// \ingroup gateway
/// \brief Permits to send requests to rate-limited upstreams. One gateway issues all permits of an
/// upstream, so that the gateways together keep the limit.
///
/// A gateway that does not reach the issuer sends nothing to the upstream: it can't know what the
/// others send. An issuer that hears nobody goes on for itself and for those that still ask it; see
/// `fleet::permit_bucket` for why two issuers at a time do no harm.
struct permit_exchange
{
    std::uint64_t last_number = 0;
    std::map<std::uint64_t, pending_permit> pending;
    /// Buckets of the upstreams that this gateway has issued permits for.
    std::map<std::string, fleet::permit_bucket> buckets;
    rollout::issuer_views views;
};

/// \ingroup gateway
/// \brief Records what the head of an answer states about the rate limit of its upstream.
/// \param sent_at when the answered request was sent.
void record_rate_limit(gateway& self, std::string const& upstream,
                       platform::response_head const& head, std::uint16_t status,
                       base::mono_time sent_at);

/// \ingroup gateway
/// \brief Asks for permits for the upstreams that would have been chosen with one.
void request_wanted_permits(gateway& self);

/// \ingroup gateway
/// \brief Answers another gateway's request for a permit.
void answer_permit_request(gateway& self, wire::connection& from,
                           wire::permit_request const& request);

/// \ingroup gateway
/// \brief Handles the answer to a request for a permit.
void handle_permit_answer(gateway& self, wire::permit_answer const& answer);

/// \ingroup gateway
/// \brief Fails the pending requests to a gateway that can't be reached any more.
/// \param address peer address of that gateway.
void fail_permit_requests_to(gateway& self, std::string const& address);

/// \ingroup gateway
/// \brief Removes the buckets of upstreams that have left.
void discard_unused_buckets(gateway& self);

} // namespace gooseberrywood::gateway

#endif
