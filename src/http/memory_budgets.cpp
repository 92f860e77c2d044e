#include "http/memory_budgets.hpp"

namespace gooseberrywood::http
{

memory_budgets make_memory_budgets(std::size_t memory_bytes)
{
    auto const process_bytes = memory_bytes / 2;
    memory_budgets made;
    made.process = base::make_byte_budget(process_bytes);
    made.large = base::make_byte_budget(process_bytes / 8 * 7, made.process);
    made.responses = base::make_byte_budget(memory_bytes / 4, made.large);
    made.large_requests = base::make_byte_budget(process_bytes / 8 * 5, made.large);
    made.jobs = base::make_byte_budget(process_bytes / 4, made.large);
    return made;
}

} // namespace gooseberrywood::http
