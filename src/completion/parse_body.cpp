#include "completion/parse_body.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace gooseberrywood::completion
{

namespace
{

/// Deepest nesting of brackets outside strings.
int depth_of(std::string_view text)
{
    int depth = 0;
    int deepest = 0;
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
            deepest = std::max(deepest, ++depth);
        }
        else if (!in_string && (c == ']' || c == '}'))
        {
            --depth;
        }
    }
    return deepest;
}

} // namespace

base::result<nlohmann::json> parse_body(std::string_view text)
{
    if (depth_of(text) > max_body_depth)
    {
        return base::fail(
            base::result_code::bad_request,
            fmt::format("the body is nested more than {} levels deep", max_body_depth));
    }
    auto body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object())
    {
        return base::fail(base::result_code::bad_request, "the body is not a JSON object");
    }
    return body;
}

} // namespace gooseberrywood::completion
