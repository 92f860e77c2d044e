#ifndef GOOSEBERRYWOOD_ENTRY_MEASURE_HPP
#define GOOSEBERRYWOOD_ENTRY_MEASURE_HPP

#include "entry/entry_process.hpp"

#include <string>

namespace gooseberrywood::entry
{

/// \brief Counts the end of a request.
void count_end(entry_process& entry, request const& which, base::result_code code);

/// \brief Counts a request that was refused before its route and team were known.
void count_refused(entry_process& entry, base::result_code code);

/// \brief All metrics of this entry as text.
[[nodiscard]] std::string exposition(entry_process& entry);

} // namespace gooseberrywood::entry

#endif
