#include "http/response_length.hpp"

#include "base/parse_number.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace gooseberrywood::http
{

namespace
{

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    auto const begin = text.find_first_not_of(blanks);
    return begin == std::string_view::npos
               ? std::string_view{}
               : text.substr(begin, text.find_last_not_of(blanks) + 1 - begin);
}

} // namespace

bool has_unreadable_length(SoupMessageHeaders* headers)
{
    char const* const values = soup_message_headers_get_list(headers, "Content-Length");
    if (values == nullptr)
    {
        return false;
    }
    std::string_view rest = values;
    std::optional<std::int64_t> first;
    for (bool is_last = false; !is_last;)
    {
        auto const comma = rest.find(',');
        auto const length = base::parse_number<std::int64_t>(trimmed(rest.substr(0, comma)));
        if (!length || *length < 0 || (first && *first != *length))
        {
            return true;
        }
        first = length;
        is_last = comma == std::string_view::npos;
        rest.remove_prefix(is_last ? rest.size() : comma + 1);
    }
    return false;
}

} // namespace gooseberrywood::http
