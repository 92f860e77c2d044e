#ifndef GOOSEBERRYWOOD_LEASE_STEP_HPP
#define GOOSEBERRYWOOD_LEASE_STEP_HPP

#include "base/time.hpp"

#include <cstdint>
#include <string>

namespace gooseberrywood::lease
{

/// \ingroup lease
/// \brief Kind of a call to the store.
enum class step_kind : std::uint8_t
{
    acquire,
    read_back,
    renew,
    release,
};

/// \ingroup lease
/// \brief A call to the store that is due.
struct step
{
    step_kind kind = step_kind::acquire;
    std::string holder;
    std::uint64_t fencing = 0;
    base::mono_time sent_at{};
    /// The outcome of the call must be reported by this time.
    base::mono_time deadline{};
};

} // namespace gooseberrywood::lease

#endif
