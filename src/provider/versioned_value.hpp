#ifndef GOOSEBERRYWOOD_PROVIDER_VERSIONED_VALUE_HPP
#define GOOSEBERRYWOOD_PROVIDER_VERSIONED_VALUE_HPP

#include <cstdint>
#include <string>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief A value of the store.
struct versioned_value
{
    /// Up to 1 MB of any bytes.
    std::string value;
    /// Rises with each write; 0 means that the key does not exist.
    std::uint64_t revision = 0;

    friend bool operator==(versioned_value const&, versioned_value const&) = default;
};

} // namespace gooseberrywood::provider

#endif
