#ifndef GOOSEBERRYWOOD_AGENT_ENGINE_STREAM_HPP
#define GOOSEBERRYWOOD_AGENT_ENGINE_STREAM_HPP

#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::agent
{

/// \ingroup agent
/// \brief Most bytes of one event of an engine's stream.
inline constexpr std::size_t max_event_bytes = 256 * 1024;

/// \ingroup agent
/// \brief Reads an engine's server-sent events.
struct engine_stream
{
    /// Only the text of the tokens is wanted, not the events.
    bool text_only = false;
    /// Bytes of an event that is not complete yet.
    std::string partial;
    /// Number of the next token.
    std::uint32_t next_token = 0;
    std::uint32_t prompt_tokens = 0;
    std::optional<std::uint64_t> first_version;
    std::uint64_t last_version = 0;
    std::string finish_reason;
    /// `[DONE]` was read.
    bool done = false;
};

/// \ingroup agent
/// \brief A run of tokens cut out of a stream.
struct engine_tokens
{
    std::uint32_t first_token = 0;
    std::uint32_t tokens = 0;
    /// The events as the engine sent them, each with its blank line; or their text.
    std::string bytes;
};

/// \ingroup agent
/// \brief Takes received bytes.
/// \returns the tokens of all events that are complete now; `upstream_error` when the stream is not
/// what an engine sends, or skips or repeats a token.
[[nodiscard]] base::result<engine_tokens> read(engine_stream& stream, std::string_view received);

} // namespace gooseberrywood::agent

#endif
