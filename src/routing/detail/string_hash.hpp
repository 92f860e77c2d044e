#ifndef GOOSEBERRYWOOD_ROUTING_DETAIL_STRING_HASH_HPP
#define GOOSEBERRYWOOD_ROUTING_DETAIL_STRING_HASH_HPP

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace gooseberrywood::routing::detail
{

/// Transparent hash: a map with string keys can be searched by a view, without a copy.
struct string_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>{}(text);
    }
};

template <class Value>
using string_map = std::unordered_map<std::string, Value, string_hash, std::equal_to<>>;

} // namespace gooseberrywood::routing::detail

#endif
