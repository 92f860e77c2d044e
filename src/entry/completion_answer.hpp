#ifndef GOOSEBERRYWOOD_ENTRY_COMPLETION_ANSWER_HPP
#define GOOSEBERRYWOOD_ENTRY_COMPLETION_ANSWER_HPP

#include "base/error.hpp"
#include "base/request_id.hpp"
#include "wire/message.hpp"

#include <string>
#include <string_view>

namespace gooseberrywood::entry
{

/// \ingroup entry
/// \brief The text of a run of an engine's events.
[[nodiscard]] std::string text_of(std::string_view events);

/// \ingroup entry
/// \brief A whole completion.
/// \param text text of all its tokens.
[[nodiscard]] std::string whole_completion(base::request_id const& id, std::string_view model,
                                           bool chat, std::string_view text,
                                           wire::finished const& end);

/// \ingroup entry
/// \brief The last events of a complete stream: finish reason, usage and `[DONE]`.
[[nodiscard]] std::string stream_end(base::request_id const& id, std::string_view model, bool chat,
                                     wire::finished const& end);

/// \ingroup entry
/// \brief The event that ends an incomplete stream; no `[DONE]` follows it.
[[nodiscard]] std::string stream_error(base::error const& why);

} // namespace gooseberrywood::entry

#endif
