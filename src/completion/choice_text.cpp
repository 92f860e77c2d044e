#include "completion/choice_text.hpp"

#include <nlohmann/json.hpp>

namespace gooseberrywood::completion
{

namespace
{

std::string string_field(nlohmann::json const& object, char const* name)
{
    auto const it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

} // namespace

std::string choice_text(nlohmann::json const& event)
{
    if (!event.is_object())
    {
        return {};
    }
    auto const choices = event.find("choices");
    if (choices == event.end() || !choices->is_array() || choices->empty() ||
        !choices->front().is_object())
    {
        return {};
    }
    auto const& choice = choices->front();
    auto const delta = choice.find("delta");
    return delta != choice.end() && delta->is_object() ? string_field(*delta, "content")
                                                       : string_field(choice, "text");
}

} // namespace gooseberrywood::completion
