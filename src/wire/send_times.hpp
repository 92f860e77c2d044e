#ifndef GOOSEBERRYWOOD_WIRE_SEND_TIMES_HPP
#define GOOSEBERRYWOOD_WIRE_SEND_TIMES_HPP

#include "base/time.hpp"

#include <cstdint>

namespace gooseberrywood::wire
{

/// \ingroup wire
/// \brief Bounds when the frames of one connection were sent, without comparing clocks.
///
/// Each frame carries the sender's monotonic time and the last such time that it received. A frame
/// that returns our own time X was sent after X, whatever the clock offset or the delay.
struct send_times
{
    /// The other side's time in its last frame; returned in our next one. 0 if none.
    std::int64_t to_echo_us = 0;
    /// The latest of our own times that came back.
    base::mono_time sent_after = base::mono_time::min();
};

/// \brief Notes the two times of a received frame.
/// \param sent_us the sender's monotonic time.
/// \param echo_us our own time as returned by the sender, 0 if it has none. One that lies after
/// `now` is a fault of the sender and is ignored.
/// \returns a time on our clock before which the frame was certainly not sent.
inline base::mono_time update_send_times(send_times& of, std::int64_t sent_us, std::int64_t echo_us,
                                         base::mono_time now)
{
    of.to_echo_us = sent_us;
    base::mono_time const echo{base::duration(echo_us)};
    if (echo_us != 0 && echo <= now && echo > of.sent_after)
    {
        of.sent_after = echo;
    }
    return of.sent_after;
}

} // namespace gooseberrywood::wire

#endif
