#ifndef GOOSEBERRYWOOD_BUNDLE_ROUTE_HPP
#define GOOSEBERRYWOOD_BUNDLE_ROUTE_HPP

#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::bundle
{

/// \ingroup bundle
/// \brief What stands behind a route.
enum class route_kind : std::uint8_t
{
    /// Model engine behind `/v1/chat/completions` and `/v1/completions`; the model is the route.
    model,
    /// Plain service behind a path prefix.
    service,
};

/// \ingroup bundle
/// \brief A route and the limits of its upstreams.
struct route
{
    std::string name;
    route_kind kind = route_kind::model;
    /// Services: path prefix of the requests, for example `/stock`.
    std::string path_prefix;
    /// Open routes need no key; their requests run for the team named here.
    bool open = false;
    std::string open_team;
    /// Services: methods whose requests may run more than once.
    std::vector<std::string> idempotent_methods = {"GET", "HEAD", "PUT", "DELETE"};
    /// Limits of one upstream: fresh, warm, and how long a fresh one takes to warm up.
    std::uint32_t fresh_limit = 1;
    std::uint32_t max_limit = 8;
    base::duration warm_up = std::chrono::seconds(60);
    /// Longest time from a caller's request to its last byte.
    base::duration timeout = std::chrono::seconds(120);
};

} // namespace gooseberrywood::bundle

#endif
