#ifndef GOOSEBERRYWOOD_FLEET_WEIGHT_VERSIONS_HPP
#define GOOSEBERRYWOOD_FLEET_WEIGHT_VERSIONS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Version of the weights, by model.
using weight_versions = std::map<std::string, std::uint32_t, std::less<>>;

/// \ingroup fleet
/// \brief Version of the weights of a model; 0 when the map does not contain the model.
[[nodiscard]] inline std::uint32_t version_of(weight_versions const& versions,
                                              std::string_view model)
{
    auto const it = versions.find(model);
    return it != versions.end() ? it->second : 0;
}

} // namespace gooseberrywood::fleet

#endif
