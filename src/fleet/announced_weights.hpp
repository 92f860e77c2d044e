#ifndef GOOSEBERRYWOOD_FLEET_ANNOUNCED_WEIGHTS_HPP
#define GOOSEBERRYWOOD_FLEET_ANNOUNCED_WEIGHTS_HPP

#include "base/time.hpp"

#include <cstdint>
#include <string>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Weights that an upstream was ordered to load. The list of upstreams shows them with a
/// delay of up to two seconds.
struct announced_weights
{
    std::string model;
    std::uint32_t version = 0;
    /// Time by which the load is expected to have finished.
    base::mono_time loaded_at{};
};

} // namespace gooseberrywood::fleet

#endif
