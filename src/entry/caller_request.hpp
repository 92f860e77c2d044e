#ifndef GOOSEBERRYWOOD_ENTRY_CALLER_REQUEST_HPP
#define GOOSEBERRYWOOD_ENTRY_CALLER_REQUEST_HPP

#include "base/result.hpp"
#include "bundle/bundle.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::entry
{

/// \ingroup entry
/// \brief What a caller sent, as views into its HTTP request.
struct caller_input
{
    std::string_view method;
    std::string_view path;
    std::string_view query;
    std::string_view content_type;
    std::string_view body;
    std::optional<std::string_view> authorization;
    std::optional<std::string_view> idempotency_key;
};

/// \ingroup entry
/// \brief A request whose route and team are known. It holds no key.
struct caller_request
{
    std::string route;
    bundle::route_kind kind = bundle::route_kind::model;
    std::string team;
    /// SHA-256 of the key; empty on open routes.
    std::string key_hash;
    std::string method;
    /// Path and query towards the upstream.
    std::string path;
    std::string content_type;
    std::string body;
    std::string idempotency_key;
    bool idempotent = true;
    bool stream = false;
    bool chat = false;
    /// Estimated tokens, prompt and generated.
    std::uint32_t cost = 1;
    /// Leading text of the prompt, which engines may have cached.
    std::string prompt_prefix;
    std::uint64_t fingerprint = 0;
};

/// \ingroup entry
/// \brief Checks a request against the bundle: route, key, team and body.
/// \returns `unknown_route`, `key_missing`, `key_unknown`, `key_not_allowed` or `bad_request`. The
/// messages contain no key.
[[nodiscard]] base::result<caller_request> parse(caller_input const& input,
                                                 bundle::bundle const& bundle);

} // namespace gooseberrywood::entry

#endif
