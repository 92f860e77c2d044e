#ifndef GOOSEBERRYWOOD_BUNDLE_BUNDLE_HPP
#define GOOSEBERRYWOOD_BUNDLE_BUNDLE_HPP

#include "bundle/route.hpp"
#include "bundle/team.hpp"
#include "bundle/trainer.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::bundle
{

/// \ingroup bundle
/// \brief A checked bundle.
struct bundle
{
    std::uint64_t version = 0;
    std::string deployment;
    std::vector<std::string> domains;
    std::vector<team> teams;
    std::vector<route> routes;
    std::vector<trainer> trainers;
};

/// \brief The route with a name, or nullptr.
[[nodiscard]] route const* find_route(bundle const& of, std::string_view name);

/// \brief The service route whose path prefix fits best, or nullptr. A prefix ends at a `/`.
[[nodiscard]] route const* find_service(bundle const& of, std::string_view path);

/// \brief The team with a name, or nullptr.
[[nodiscard]] team const* find_team(bundle const& of, std::string_view name);

/// \brief The team that holds a key, or nullptr.
/// \param key_hash SHA-256 of the key, 64 lower-case hexadecimal digits.
[[nodiscard]] team const* find_team_by_key(bundle const& of, std::string_view key_hash);

/// \brief Whether a team may use a route.
[[nodiscard]] bool may_use(team const& user, route const& wanted);

} // namespace gooseberrywood::bundle

#endif
