#ifndef GOOSEBERRYWOOD_BASE_INVARIANT_HPP
#define GOOSEBERRYWOOD_BASE_INVARIANT_HPP

#include <string_view>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief Ends the process with a log line when a property that must always hold does not.
/// \param holds the property.
/// \param what the property in words.
/// \param file, line of the call. std::source_location is not known to clang-tidy 14 with this
/// standard library; both compilers have these built-ins.
void check_invariant(bool holds, std::string_view what, char const* file = __builtin_FILE(),
                     int line = __builtin_LINE());

} // namespace gooseberrywood::base

#endif
