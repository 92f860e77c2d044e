#ifndef GOOSEBERRYWOOD_HTTP_MEMORY_BUDGETS_HPP
#define GOOSEBERRYWOOD_HTTP_MEMORY_BUDGETS_HPP

#include "base/byte_budget.hpp"

#include <cstddef>
#include <memory>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Requests that hold at most this much are short ones, for which a part of the memory is
/// kept free.
inline constexpr std::size_t short_request_bytes = std::size_t{48} * 1024;

/// \ingroup http
/// \brief Budgets of what a process holds of the bytes that its callers and upstreams send. Each
/// counts within the one before it, but for the last three, which are all within
/// `large`.
struct memory_budgets
{
    /// All of it; half of the memory.
    std::shared_ptr<base::byte_budget> process;
    /// Everything but short requests and connections; seven eighths of that.
    std::shared_ptr<base::byte_budget> large;
    /// Responses of upstreams and what is made of them; a quarter of the memory.
    std::shared_ptr<base::byte_budget> responses;
    /// Requests of callers that are not short; five eighths of what the process may hold. On a host
    /// with 112 MB that is one body of 32 MiB.
    std::shared_ptr<base::byte_budget> large_requests;
    /// Batch jobs that the process runs; a quarter of what the process may hold.
    std::shared_ptr<base::byte_budget> jobs;
};

/// \ingroup http
/// \brief Creates the budgets of a process.
/// \param memory_bytes memory that the process may use.
[[nodiscard]] memory_budgets make_memory_budgets(std::size_t memory_bytes);

} // namespace gooseberrywood::http

#endif
