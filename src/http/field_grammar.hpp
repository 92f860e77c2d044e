#ifndef GOOSEBERRYWOOD_HTTP_FIELD_GRAMMAR_HPP
#define GOOSEBERRYWOOD_HTTP_FIELD_GRAMMAR_HPP

#include <string_view>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Whether a byte is a space or a tab.
[[nodiscard]] constexpr bool is_blank(char byte)
{
    return byte == ' ' || byte == '\t';
}

/// \ingroup http
/// \brief Whether a byte may stand in a token, such as the name of a header (RFC 9110, 5.6.2).
[[nodiscard]] constexpr bool is_token_char(char byte)
{
    bool const is_alphanumeric = (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
                                 (byte >= 'A' && byte <= 'Z');
    return is_alphanumeric || (byte != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(byte) !=
                                                   std::string_view::npos);
}

/// \ingroup http
/// \brief Whether a byte may stand in the value of a header: no control character but the tab.
[[nodiscard]] constexpr bool is_field_char(char byte)
{
    auto const code = static_cast<unsigned char>(byte);
    return code == '\t' || (code >= ' ' && code != 0x7f);
}

/// \ingroup http
/// \brief A text without the blanks around it.
[[nodiscard]] constexpr std::string_view trim_blanks(std::string_view text)
{
    while (!text.empty() && is_blank(text.front()))
    {
        text.remove_prefix(1);
    }
    while (!text.empty() && is_blank(text.back()))
    {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace gooseberrywood::http

#endif
