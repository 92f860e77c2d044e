#include "process/admin.hpp"

#include "base/metrics.hpp"
#include "http/error_response.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace gooseberrywood::process
{

namespace
{

constexpr int indent = 2;

void answer(admin_views const& views, http::exchange& to)
{
    if (to.path == "/state")
    {
        http::respond(to, 200, "application/json",
                      views.state().dump(indent, ' ', false,
                                         nlohmann::ordered_json::error_handler_t::replace) +
                          "\n");
    }
    else if (to.path == "/metrics")
    {
        http::respond(to, 200, base::exposition_content_type, views.metrics());
    }
    else if (to.path == "/healthz")
    {
        http::respond(to, 200, "text/plain", "ok\n");
    }
    else if (to.path == "/readyz")
    {
        bool const ready = views.ready();
        http::respond(to, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    }
    else
    {
        http::respond_error(to, {base::result_code::not_found, "no such page"});
    }
}

} // namespace

base::result<std::unique_ptr<http::server>> serve_admin(std::string_view address, admin_views views)
{
    return http::serve(address, [views = std::move(views)](auto const& exchange)
                       { answer(views, *exchange); });
}

} // namespace gooseberrywood::process
