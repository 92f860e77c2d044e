#include "gateway/answer_caller.hpp"

#include "http/error_answer.hpp"

#include <fmt/format.h>

#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

constexpr std::uint16_t service_unavailable = 503;

void answer(http::exchange& to, std::uint16_t status, base::error const& why,
            std::vector<http::header> const& headers)
{
    http::respond(to, status, "application/json", http::error_json(why), headers);
}

} // namespace

void refuse(http::exchange& to, base::error const& why, base::duration come_back)
{
    auto const seconds = std::chrono::duration<double>(come_back).count();
    answer(to, service_unavailable, why, {{"Retry-After", fmt::format("{:.3f}", seconds)}});
}

void fail_request(http::exchange& to, std::uint16_t status, base::error const& why)
{
    answer(to, status, why, {});
}

void reject(http::exchange& to, std::uint16_t status, base::error const& why)
{
    answer(to, status, why, {});
}

} // namespace gooseberrywood::gateway
