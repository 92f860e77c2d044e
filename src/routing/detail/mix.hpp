#ifndef GOOSEBERRYWOOD_ROUTING_DETAIL_MIX_HPP
#define GOOSEBERRYWOOD_ROUTING_DETAIL_MIX_HPP

#include <cstdint>

namespace gooseberrywood::routing::detail
{

/// Finalizer of SplitMix64. Its inputs are already SipHash values, so that this cheap function
/// suffices; SipHash itself would take about ten times as long per candidate.
[[nodiscard]] constexpr std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace gooseberrywood::routing::detail

#endif
