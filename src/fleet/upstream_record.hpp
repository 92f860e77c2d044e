#ifndef GOOSEBERRYWOOD_FLEET_UPSTREAM_RECORD_HPP
#define GOOSEBERRYWOOD_FLEET_UPSTREAM_RECORD_HPP

#include "base/time.hpp"
#include "fleet/weight_versions.hpp"

#include <cstdint>
#include <string>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief What an upstream says of itself in the list of upstreams.
struct upstream_record
{
    std::string id;
    std::string service;
    /// `IP:port`
    std::string address;
    std::string domain;
    /// Requests that it processes at once.
    std::uint32_t slots = 1;
    /// It leaves soon and takes no new work.
    bool draining = false;
    base::mono_time cold_until{};
    /// Version of the weights of each model that it holds.
    weight_versions weights;
    /// Start of the incarnation, Unix time in milliseconds; 0 when it is not told.
    std::int64_t started_ms = 0;
};

} // namespace gooseberrywood::fleet

#endif
