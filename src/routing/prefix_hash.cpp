#include "routing/prefix_hash.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace gooseberrywood::routing
{

std::optional<std::uint64_t> prefix_hash(std::string_view prompt)
{
    auto const blocks = std::min(prompt.size() / prefix_block_bytes, prefix_max_blocks);
    if (blocks == 0)
    {
        return std::nullopt;
    }
    return base::hash64(prompt.substr(0, blocks * prefix_block_bytes));
}

} // namespace gooseberrywood::routing
