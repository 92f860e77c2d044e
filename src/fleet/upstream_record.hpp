#ifndef GOOSEBERRYWOOD_FLEET_UPSTREAM_RECORD_HPP
#define GOOSEBERRYWOOD_FLEET_UPSTREAM_RECORD_HPP

#include "base/time.hpp"
#include "fleet/weight_versions.hpp"

#include <cstdint>
#include <string>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Entry of an upstream in the list of upstreams, as published by the upstream.
struct upstream_record
{
    std::string id;
    std::string service;
    /// `IP:port`
    std::string address;
    /// Failure domain.
    std::string domain;
    /// Version of the upstream's software, not of weights. What two versions write does not fit
    /// together.
    std::string software_version;
    /// Number of requests that it processes concurrently.
    std::uint32_t slots = 1;
    /// Set when it will leave soon and takes no new requests.
    bool draining = false;
    /// Until this time the rate of requests to it is limited; see `service::cold_requests_per_s`.
    base::mono_time cold_until{};
    /// Version of the weights that it has loaded, by model.
    weight_versions weights;
    /// Start time of the incarnation, as Unix time in milliseconds; 0 when unknown.
    std::int64_t started_ms = 0;
};

} // namespace gooseberrywood::fleet

#endif
