#include "http/response_limits.hpp"

#include <algorithm>

namespace gooseberrywood::http
{

namespace
{

constexpr std::size_t memory_divisor = 4;

} // namespace

response_limits make_response_limits(std::size_t max_response_bytes, std::size_t memory_bytes)
{
    auto const budget_bytes = memory_bytes / memory_divisor;
    // While the body of a response grows, it is held twice.
    return {std::min(max_response_bytes, budget_bytes / 2), base::make_byte_budget(budget_bytes)};
}

} // namespace gooseberrywood::http
