#ifndef GOOSEBERRYWOOD_COMPLETION_CHOICE_TEXT_HPP
#define GOOSEBERRYWOOD_COMPLETION_CHOICE_TEXT_HPP

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace gooseberrywood::completion
{

/// \ingroup completion
/// \brief Text that an event of a completion or chat completion adds to its first choice.
/// \param event any JSON.
/// \returns an empty text when there is none.
[[nodiscard]] std::string choice_text(nlohmann::json const& event);

} // namespace gooseberrywood::completion

#endif
