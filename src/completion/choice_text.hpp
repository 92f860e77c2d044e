#ifndef GOOSEBERRYWOOD_COMPLETION_CHOICE_TEXT_HPP
#define GOOSEBERRYWOOD_COMPLETION_CHOICE_TEXT_HPP

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace gooseberrywood::completion
{

/// \ingroup completion
/// \brief Returns the text that an event of a completion or chat completion adds to the first
/// choice.
/// \param event JSON value of any type.
/// \returns an empty string if the event adds no text.
[[nodiscard]] std::string choice_text(nlohmann::json const& event);

} // namespace gooseberrywood::completion

#endif
