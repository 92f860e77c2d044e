#ifndef GOOSEBERRYWOOD_BASE_RESULT_HPP
#define GOOSEBERRYWOOD_BASE_RESULT_HPP

#include "base/error.hpp"

#include <tl/expected.hpp>

#include <string>
#include <utility>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief A value, or the error that kept it from being made.
template <class T>
using result = tl::expected<T, error>;

/// \ingroup base
/// \brief Builds the error side of a `result`.
/// \param code the result code.
/// \param message text for people; it must not contain a key.
[[nodiscard]] inline tl::unexpected<error> fail(result_code code, std::string message)
{
    return tl::unexpected<error>(error{code, std::move(message)});
}

} // namespace gooseberrywood::base

#endif
