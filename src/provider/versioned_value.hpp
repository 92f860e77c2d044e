#ifndef GOOSEBERRYWOOD_PROVIDER_VERSIONED_VALUE_HPP
#define GOOSEBERRYWOOD_PROVIDER_VERSIONED_VALUE_HPP

#include <cstdint>
#include <string>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief A value in the store with its revision.
struct versioned_value
{
    /// Arbitrary bytes, up to 1 MB.
    std::string value;
    /// Increases with each write; 0 means that the key does not exist.
    std::uint64_t revision = 0;

    friend bool operator==(versioned_value const&, versioned_value const&) = default;
};

} // namespace gooseberrywood::provider

#endif
