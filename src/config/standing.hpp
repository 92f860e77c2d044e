#ifndef GOOSEBERRYWOOD_CONFIG_STANDING_HPP
#define GOOSEBERRYWOOD_CONFIG_STANDING_HPP

#include <cstdint>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief What the sender of a frame vouches for. The numbers are used on the wire.
enum class standing : std::uint8_t
{
    /// Nothing: a process that has just started, or an entry that is not fresh.
    none = 0,
    /// Agent: it remembers every announcement that it was sent and that may still be accepted.
    witness = 1,
    /// Entry: no version above its own was accepted before the start of its freshness window.
    fresh = 2,
};

} // namespace gooseberrywood::config

#endif
