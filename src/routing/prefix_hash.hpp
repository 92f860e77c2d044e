#ifndef GOOSEBERRYWOOD_ROUTING_PREFIX_HASH_HPP
#define GOOSEBERRYWOOD_ROUTING_PREFIX_HASH_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace gooseberrywood::routing
{

/// \brief Length of a hashed block. Engines cache blocks of 16 tokens or more, and a token has
/// about 4 bytes; several such blocks make a saved prefill worth a preference.
inline constexpr std::size_t prefix_block_bytes = 256;

/// \brief Most blocks that are hashed. Prompts that share a system prompt of 1 KiB then share an
/// upstream, whatever follows.
inline constexpr std::size_t prefix_max_blocks = 4;

/// \ingroup routing
/// \brief Hash of the leading whole blocks of a prompt.
/// \returns nothing for a prompt shorter than one block, whose prefill costs too little to bind it
/// to an upstream.
[[nodiscard]] std::optional<std::uint64_t> prefix_hash(std::string_view prompt);

} // namespace gooseberrywood::routing

#endif
