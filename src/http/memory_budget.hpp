#ifndef GOOSEBERRYWOOD_HTTP_MEMORY_BUDGET_HPP
#define GOOSEBERRYWOOD_HTTP_MEMORY_BUDGET_HPP

#include <cstddef>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Requests up to this size are small ones, for which a part of the budget is reserved.
inline constexpr std::size_t small_request_bytes = std::size_t{64} * 1024;

/// \ingroup http
/// \brief Memory that the open connections of a server may occupy, in bytes.
///
/// Load pattern: clients send many large bodies at once and leave them unfinished. Large requests
/// get three quarters of the budget at most, so that small ones are still received.
struct memory_budget
{
    std::size_t total = 0;
    std::size_t reserved = 0;
    /// Part of `reserved` that large requests hold.
    std::size_t reserved_large = 0;
};

/// \ingroup http
/// \brief Part of a budget that one connection holds, in bytes.
struct memory_share
{
    std::size_t bytes = 0;
    bool is_large = false;
};

/// \ingroup http
/// \brief Most that large requests may hold together.
[[nodiscard]] std::size_t max_large_bytes(memory_budget const& budget);

/// \ingroup http
/// \brief Reserves further bytes for a connection.
/// \returns false, without a change, if the budget has no room for them.
[[nodiscard]] bool reserve(memory_budget& budget, memory_share& share, std::size_t bytes);

/// \ingroup http
/// \brief Returns bytes of a connection to the budget, at most those that it holds.
void release(memory_budget& budget, memory_share& share, std::size_t bytes);

} // namespace gooseberrywood::http

#endif
