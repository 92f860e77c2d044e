#include "completion/parse_body.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace gooseberrywood::completion
{

namespace
{

/// Returns the maximum nesting depth of brackets and braces outside strings.
int nesting_depth(std::string_view text)
{
    int depth = 0;
    int max_depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        char const c = text[i];
        if (in_string && c == '\\')
        {
            ++i;
        }
        else if (c == '"')
        {
            in_string = !in_string;
        }
        else if (!in_string && (c == '[' || c == '{'))
        {
            max_depth = std::max(max_depth, ++depth);
        }
        else if (!in_string && (c == ']' || c == '}'))
        {
            --depth;
        }
    }
    return max_depth;
}

} // namespace

base::result<nlohmann::json> parse_body(std::string_view text)
{
    if (nesting_depth(text) > max_body_depth)
    {
        return base::fail(
            base::result_code::bad_request,
            fmt::format("request body is nested more than {} levels deep", max_body_depth));
    }
    auto body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object())
    {
        return base::fail(base::result_code::bad_request, "request body is not a JSON object");
    }
    return body;
}

} // namespace gooseberrywood::completion
