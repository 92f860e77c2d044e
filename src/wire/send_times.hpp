#ifndef GOOSEBERRYWOOD_WIRE_SEND_TIMES_HPP
#define GOOSEBERRYWOOD_WIRE_SEND_TIMES_HPP

#include "base/time.hpp"

#include <cstdint>

namespace gooseberrywood::wire
{

/// \ingroup wire
/// \brief Lower bound for the send times of the frames on one connection, computed without
/// comparing clocks.
///
/// Each frame carries the sender's monotonic time and the last such time that the sender received.
/// A frame that echoes the local time X was sent after X, whatever the clock offset or the delay.
struct send_times
{
    /// Peer's monotonic time in its last frame, echoed in the next frame to it; 0 if none.
    std::int64_t to_echo_us = 0;
    /// Latest local time that the peer has echoed.
    base::mono_time sent_after = base::mono_time::min();
};

/// \brief Updates the bound with the two times of a received frame.
/// \param sent_us monotonic time of the sender.
/// \param echo_us local time echoed by the sender; 0 if none. A time after `now` is a fault of the
/// sender and is ignored.
/// \returns a time on the local clock before which the frame was certainly not sent.
inline base::mono_time update_send_times(send_times& times, std::int64_t sent_us,
                                         std::int64_t echo_us, base::mono_time now)
{
    times.to_echo_us = sent_us;
    base::mono_time const echo{base::duration(echo_us)};
    if (echo_us != 0 && echo <= now && echo > times.sent_after)
    {
        times.sent_after = echo;
    }
    return times.sent_after;
}

} // namespace gooseberrywood::wire

#endif
