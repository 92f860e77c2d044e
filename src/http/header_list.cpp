#include "http/header_list.hpp"

#include <algorithm>

namespace gooseberrywood::http
{

std::vector<header> header_list(SoupMessageHeaders* headers)
{
    std::vector<header> collected;
    SoupMessageHeadersIter iter;
    char const* name = nullptr;
    char const* value = nullptr;
    soup_message_headers_iter_init(&iter, headers);
    while (soup_message_headers_iter_next(&iter, &name, &value) != 0)
    {
        auto const same =
            std::find_if(collected.begin(), collected.end(),
                         [&](header const& earlier)
                         { return g_ascii_strcasecmp(earlier.name.c_str(), name) == 0; });
        if (same == collected.end())
        {
            collected.push_back({name, value});
        }
        else
        {
            same->value.append(", ").append(value);
        }
    }
    return collected;
}

} // namespace gooseberrywood::http
