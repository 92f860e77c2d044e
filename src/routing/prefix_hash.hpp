#ifndef GOOSEBERRYWOOD_ROUTING_PREFIX_HASH_HPP
#define GOOSEBERRYWOOD_ROUTING_PREFIX_HASH_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace gooseberrywood::routing
{

/// \brief Length of a hashed block. Engines cache blocks of 16 tokens or more, and a token has
/// about 4 bytes; the saved prefill of several such blocks justifies affinity.
inline constexpr std::size_t prefix_block_bytes = 256;

/// \brief Maximum number of hashed blocks. Prompts that share a system prompt of 1 KiB then share
/// an upstream, whatever follows it.
inline constexpr std::size_t prefix_max_blocks = 4;

/// \ingroup routing
/// \brief Hash of the leading whole blocks of a prompt.
/// \returns nothing for a prompt shorter than one block, whose prefill is too cheap to justify
/// affinity.
[[nodiscard]] std::optional<std::uint64_t> prefix_hash(std::string_view prompt);

} // namespace gooseberrywood::routing

#endif
