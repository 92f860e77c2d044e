#include "http/header_list.hpp"

#include <algorithm>

namespace gooseberrywood::http
{

std::vector<header> header_list(SoupMessageHeaders* from)
{
    std::vector<header> found;
    SoupMessageHeadersIter iter;
    char const* name = nullptr;
    char const* value = nullptr;
    soup_message_headers_iter_init(&iter, from);
    while (soup_message_headers_iter_next(&iter, &name, &value) != 0)
    {
        auto const same = std::find_if(found.begin(), found.end(),
                                       [&](header const& one)
                                       { return g_ascii_strcasecmp(one.name.c_str(), name) == 0; });
        if (same == found.end())
        {
            found.push_back({name, value});
        }
        else
        {
            same->value.append(", ").append(value);
        }
    }
    return found;
}

} // namespace gooseberrywood::http
