#ifndef GOOSEBERRYWOOD_CONFIG_APPLY_PHASE_HPP
#define GOOSEBERRYWOOD_CONFIG_APPLY_PHASE_HPP

#include <cstdint>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief What an operator's command does next.
enum class apply_phase : std::uint8_t
{
    /// Read the record from the store, then call `store_read`.
    reading,
    /// Send `intent_of` to all processes that are or get connected; pass on answers.
    announcing,
    /// Write `proposed` by CAS over `base_version`, aborted at `write_until`; then `store_written`.
    writing,
    /// As `reading`: the answer to the write was lost.
    reading_back,
    /// Pass on frames until all processes have the version or `wait_until` has passed.
    waiting,
    /// Send `intent_of` once more if it is withdrawn; `outcome` is final.
    finished,
};

} // namespace gooseberrywood::config

#endif
