#ifndef GOOSEBERRYWOOD_LEASE_STEP_HPP
#define GOOSEBERRYWOOD_LEASE_STEP_HPP

#include "base/time.hpp"

#include <cstdint>
#include <string>

namespace gooseberrywood::lease
{

/// \ingroup lease
/// \brief Kinds of calls to the store.
enum class step_kind : std::uint8_t
{
    acquire,
    read_back,
    renew,
    release,
};

/// \ingroup lease
/// \brief A call to the store that is to be sent now.
struct step
{
    step_kind kind = step_kind::acquire;
    std::string holder;
    std::uint64_t fencing = 0;
    base::mono_time sent_at{};
    /// The call must report an outcome by then.
    base::mono_time deadline{};
};

} // namespace gooseberrywood::lease

#endif
