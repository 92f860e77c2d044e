#ifndef GOOSEBERRYWOOD_CONFIG_NAMED_CHANGE_HPP
#define GOOSEBERRYWOOD_CONFIG_NAMED_CHANGE_HPP

#include <compare>
#include <cstdint>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief Names an announced record in a frame. Racing operators announce the same version with
/// other content, so that the version alone does not tell.
struct named_change
{
    std::uint64_t version = 0;
    /// `record_hash` of the announced record; 0 stands for several that are not remembered singly.
    std::uint64_t hash = 0;

    friend auto operator<=>(named_change const&, named_change const&) = default;
};

} // namespace gooseberrywood::config

#endif
