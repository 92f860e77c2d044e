#ifndef GOOSEBERRYWOOD_BASE_INVARIANT_HPP
#define GOOSEBERRYWOOD_BASE_INVARIANT_HPP

#include <source_location>
#include <string_view>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief Ends the process with a log line when a property that must always hold does not.
/// \param holds the property.
/// \param what the property in words.
void check_invariant(bool holds, std::string_view what,
                     std::source_location where = std::source_location::current());

} // namespace gooseberrywood::base

#endif
