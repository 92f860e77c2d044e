#include "http/error_response.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace gooseberrywood::http
{

std::string error_json(base::error const& error)
{
    auto const& row = base::info(error.code);
    nlohmann::ordered_json const body = {{"error",
                                          {{"code", static_cast<std::uint16_t>(error.code)},
                                           {"name", row.name},
                                           {"not_run", row.not_run},
                                           {"message", error.message}}}};
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void respond_error(exchange& request, base::error const& error,
                   std::optional<base::mono_time> retry_at)
{
    std::vector<header> headers;
    if (retry_at)
    {
        auto const wait = std::chrono::ceil<std::chrono::seconds>(*retry_at - base::mono_now());
        headers.push_back(
            {"Retry-After", fmt::format("{}", std::max<std::int64_t>(1, wait.count()))});
    }
    respond(request, base::info(error.code).http_status, "application/json", error_json(error),
            headers);
}

} // namespace gooseberrywood::http
