#include "http/response_limits.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::http
{

namespace
{

constexpr std::size_t memory_divisor = 4;

} // namespace

response_limits make_response_limits(std::size_t max_response_bytes, std::size_t memory_bytes)
{
    return make_response_limits(max_response_bytes,
                                base::make_byte_budget(memory_bytes / memory_divisor));
}

response_limits make_response_limits(std::size_t max_response_bytes,
                                     std::shared_ptr<base::byte_budget> budget)
{
    // While the body of a response grows, it is held twice.
    return {std::min(max_response_bytes, budget->max_bytes / 2), std::move(budget)};
}

} // namespace gooseberrywood::http
