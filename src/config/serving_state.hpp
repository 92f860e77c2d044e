#ifndef GOOSEBERRYWOOD_CONFIG_SERVING_STATE_HPP
#define GOOSEBERRYWOOD_CONFIG_SERVING_STATE_HPP

#include <cstdint>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief Whether an entry may serve keyed routes.
enum class serving_state : std::uint8_t
{
    /// Neither the store nor a majority was heard: new requests are refused with
    /// `configuration_stale`, and running ones end.
    stopped,
    /// Announced changes may have been written: a key must be valid in the configuration in effect
    /// and in each of `restrictions`. Running requests of other keys end.
    restricted,
    /// The configuration in effect alone decides.
    full,
};

} // namespace gooseberrywood::config

#endif
