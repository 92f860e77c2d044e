#ifndef GOOSEBERRYWOOD_PROVIDER_WEIGHT_STORE_HPP
#define GOOSEBERRYWOOD_PROVIDER_WEIGHT_STORE_HPP

#include "base/time.hpp"
#include "provider/done.hpp"
#include "provider/weight_version.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief The platform's weight store. It limits the rates of calls and of bytes.
struct weight_store
{
    /// Lists the versions of a model. Errors: `store_unavailable`, `platform_refused` (a rate
    /// limit is exceeded).
    std::function<void(std::string const& model, base::mono_time deadline,
                       done<std::vector<weight_version>>)>
        versions;

    /// Reads `size` bytes of a version from `offset` on, or fewer at its end. Errors as above.
    std::function<void(weight_version const& version, std::uint64_t offset, std::uint64_t size,
                       base::mono_time deadline, done<std::string>)>
        read;
};

} // namespace gooseberrywood::provider

#endif
