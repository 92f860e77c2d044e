#ifndef GOOSEBERRYWOOD_PROCESS_ADMIN_HPP
#define GOOSEBERRYWOOD_PROCESS_ADMIN_HPP

#include "base/result.hpp"
#include "http/server.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace gooseberrywood::process
{

/// \ingroup process
/// \brief Functions that produce the content of the admin pages.
struct admin_views
{
    std::function<nlohmann::ordered_json()> state;
    std::function<std::string()> metrics;
    std::function<bool()> ready;
};

/// \ingroup process
/// \brief Serves `/state`, `/metrics`, `/healthz` and `/readyz`.
/// \param address listen address, `IP:port`.
[[nodiscard]] base::result<std::unique_ptr<http::server>>
serve_admin(std::string_view address, admin_views views, http::server_options options = {});

} // namespace gooseberrywood::process

#endif
