#include "process/admin.hpp"

#include "base/metrics.hpp"
#include "http/error_response.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace gooseberrywood::process
{

namespace
{

constexpr int json_indent = 2;

void answer(admin_views const& views, http::exchange& exchange)
{
    if (exchange.path == "/state")
    {
        http::respond(exchange, 200, "application/json",
                      views.state().dump(json_indent, ' ', false,
                                         nlohmann::ordered_json::error_handler_t::replace) +
                          "\n");
    }
    else if (exchange.path == "/metrics")
    {
        http::respond(exchange, 200, base::exposition_content_type, views.metrics());
    }
    else if (exchange.path == "/healthz")
    {
        http::respond(exchange, 200, "text/plain", "ok\n");
    }
    else if (exchange.path == "/readyz")
    {
        bool const ready = views.ready();
        http::respond(exchange, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    }
    else
    {
        http::respond_error(exchange,
                            {base::result_code::not_found, "no such page on the admin port"});
    }
}

} // namespace

base::result<std::unique_ptr<http::server>> serve_admin(std::string_view address, admin_views views,
                                                        http::server_options options)
{
    return http::serve(
        address, [views = std::move(views)](auto const& exchange) { answer(views, *exchange); },
        std::move(options));
}

} // namespace gooseberrywood::process
