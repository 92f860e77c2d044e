#ifndef GOOSEBERRYWOOD_ROLLOUT_STREAM_EVENT_HPP
#define GOOSEBERRYWOOD_ROLLOUT_STREAM_EVENT_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief One event of a token stream.
struct stream_event
{
    /// Absent if the event has no id, or an unreadable one.
    std::optional<std::int64_t> id;
    std::string data;
    /// Version of the weights; set when it changes with this event.
    std::optional<std::uint32_t> version;
};

} // namespace gooseberrywood::rollout

#endif
