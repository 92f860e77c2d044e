#ifndef GOOSEBERRYWOOD_PROVIDER_WEIGHT_VERSION_HPP
#define GOOSEBERRYWOOD_PROVIDER_WEIGHT_VERSION_HPP

#include <cstdint>
#include <string>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief A version of the weights of a model.
struct weight_version
{
    std::string model;
    std::uint64_t version = 0;
    std::uint64_t bytes = 0;

    friend bool operator==(weight_version const&, weight_version const&) = default;
};

} // namespace gooseberrywood::provider

#endif
