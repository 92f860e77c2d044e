#ifndef GOOSEBERRYWOOD_ADMISSION_QUEUED_START_HPP
#define GOOSEBERRYWOOD_ADMISSION_QUEUED_START_HPP

#include "admission/queue_tag.hpp"
#include "base/time.hpp"
#include "wire/message.hpp"

#include <cstdint>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Start frame offered to an upstream.
struct queued_start
{
    wire::start request;
    /// The agent's number of the connection on which the frame arrived.
    std::uint64_t entry = 0;
    /// The request's deadline on this process's monotonic clock, corrected for the clock offset.
    base::mono_time deadline{};

    // The following are set by `offer`.

    /// Time from which the deadline can't be met any more.
    base::mono_time latest_start{};
    base::mono_time queued_at{};
    /// True when the request has crash ids, its own or those of its fingerprint's mark.
    bool is_suspect = false;
};

/// \brief Returns the attributes of a queued start. Suspects have a lane of their own, so that one
/// that waits for the end of another suspect does not block its team.
[[nodiscard]] inline queue_tag queue_tag_of(queued_start const& item)
{
    return {item.request.id,       item.request.team,
            item.request.key_hash, item.is_suspect ? "suspect" : "",
            item.request.cost,     item.request.body.size() + item.request.resume_text.size(),
            item.latest_start};
}

static_assert(queue_item<queued_start>);

} // namespace gooseberrywood::admission

#endif
