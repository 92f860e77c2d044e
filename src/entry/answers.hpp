#ifndef GOOSEBERRYWOOD_ENTRY_ANSWERS_HPP
#define GOOSEBERRYWOOD_ENTRY_ANSWERS_HPP

#include "base/error.hpp"
#include "base/time.hpp"
#include "entry/request.hpp"

#include <optional>
#include <string_view>

namespace gooseberrywood::entry
{

/// \brief Keeps the bytes of tokens, and passes them to the caller if it asked for a stream.
/// \returns false when the caller reads too slowly.
[[nodiscard]] bool pass_tokens(request& which, std::string_view bytes);

/// \brief Passes the end of the answer to the caller.
void pass_end(request& which);

/// \brief Ends the answer with an error. A stream that has begun gets an error event and no end
/// mark.
void pass_error(request& which, base::error const& why, std::optional<base::mono_time> retry_at);

} // namespace gooseberrywood::entry

#endif
