#include "gateway/answer_caller.hpp"

#include "base/log.hpp"
#include "gateway/measure.hpp"
#include "http/error_response.hpp"
#include "http/status.hpp"
#include "platform/protocol_names.hpp"

#include <fmt/format.h>

#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

void answer(gateway& self, http::exchange& exchange, std::uint16_t status, base::error const& error,
            std::vector<http::header> const& headers)
{
    auto const id = http::request_header(exchange, platform::header_names::attempt_id).value_or("");
    base::log_line(
        base::log_level::info, "answered_with_error",
        {{"request", id},
         {"path", exchange.path},
         {"status", std::int64_t{status}},
         {"code", error.code},
         {"reason", error.message},
         {"configuration",
          static_cast<std::int64_t>(self.configuration ? self.configuration->version : 0)},
         {"configuration_age_us", (base::mono_now() - self.operator_poller.confirmed_at).count()}});
    count_error(self, info(error.code).name);
    http::respond(exchange, status, "application/json", http::error_json(error), headers);
}

} // namespace

void refuse(gateway& self, http::exchange& exchange, base::error const& error,
            base::duration retry_after)
{
    auto const seconds = std::chrono::duration<double>(retry_after).count();
    answer(self, exchange, http::status::unavailable, error,
           {{"Retry-After", fmt::format("{:.3f}", seconds)}});
}

void answer_error(gateway& self, http::exchange& exchange, std::uint16_t status,
                  base::error const& error)
{
    answer(self, exchange, status, error, {});
}

} // namespace gooseberrywood::gateway
