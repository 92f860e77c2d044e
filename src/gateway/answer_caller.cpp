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

void answer(gateway& self, http::exchange& to, std::uint16_t status, base::error const& why,
            std::vector<http::header> const& headers)
{
    auto const id = http::request_header(to, platform::header_names::attempt_id).value_or("");
    base::log_line(
        base::log_level::info, "answered_with_error",
        {{"request", id},
         {"path", to.path},
         {"status", std::int64_t{status}},
         {"code", why.code},
         {"reason", why.message},
         {"configuration",
          static_cast<std::int64_t>(self.configuration ? self.configuration->version : 0)},
         {"configuration_age_us", (base::mono_now() - self.operator_poller.confirmed_at).count()}});
    count_error(self, info(why.code).name);
    http::respond(to, status, "application/json", http::error_json(why), headers);
}

} // namespace

void refuse(gateway& self, http::exchange& to, base::error const& why, base::duration come_back)
{
    auto const seconds = std::chrono::duration<double>(come_back).count();
    answer(self, to, http::status::unavailable, why,
           {{"Retry-After", fmt::format("{:.3f}", seconds)}});
}

void answer_error(gateway& self, http::exchange& to, std::uint16_t status, base::error const& why)
{
    answer(self, to, status, why, {});
}

} // namespace gooseberrywood::gateway
