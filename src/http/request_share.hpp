#ifndef GOOSEBERRYWOOD_HTTP_REQUEST_SHARE_HPP
#define GOOSEBERRYWOOD_HTTP_REQUEST_SHARE_HPP

#include "http/memory_budgets.hpp"

#include <cstddef>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief The bytes that a connection and its request hold of the budgets of a process.
///
/// Load pattern: clients send many large bodies at once and leave them unfinished. Only shares that
/// are no longer short count as large requests, so that such clients leave room for short ones.
struct request_share
{
    std::size_t bytes = 0;
    /// Counted in `memory_budgets::large_requests`.
    bool is_large = false;
};

/// \ingroup http
/// \brief Adds bytes to a share.
/// \returns false, without a change, if the budgets have no room for them.
[[nodiscard]] bool reserve(memory_budgets const& budgets, request_share& share, std::size_t bytes);

/// \ingroup http
/// \brief Adds bytes that are held already, whether there is room for them or not.
void count_held(memory_budgets const& budgets, request_share& share, std::size_t bytes);

/// \ingroup http
/// \brief Returns bytes of a share, at most those that it holds.
void release(memory_budgets const& budgets, request_share& share, std::size_t bytes);

} // namespace gooseberrywood::http

#endif
