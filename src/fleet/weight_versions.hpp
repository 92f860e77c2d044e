#ifndef GOOSEBERRYWOOD_FLEET_WEIGHT_VERSIONS_HPP
#define GOOSEBERRYWOOD_FLEET_WEIGHT_VERSIONS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Version of the weights of each model.
using weight_versions = std::map<std::string, std::uint32_t, std::less<>>;

/// \ingroup fleet
/// \brief The version of a model; 0 when it is not among them.
[[nodiscard]] inline std::uint32_t version_of(weight_versions const& in, std::string_view model)
{
    auto const at = in.find(model);
    return at != in.end() ? at->second : 0;
}

} // namespace gooseberrywood::fleet

#endif
