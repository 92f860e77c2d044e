#ifndef GOOSEBERRYWOOD_BASE_PARSE_NUMBER_HPP
#define GOOSEBERRYWOOD_BASE_PARSE_NUMBER_HPP

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief Reads a decimal integer that is the whole text.
/// \returns nothing when the text is anything else or the number does not fit.
template <class Number>
[[nodiscard]] std::optional<Number> parse_number(std::string_view text)
{
    Number value{};
    auto const* const end = text.data() + text.size();
    auto const [stop, failed] = std::from_chars(text.data(), end, value);
    return failed == std::errc() && stop == end ? std::optional(value) : std::nullopt;
}

} // namespace gooseberrywood::base

#endif
