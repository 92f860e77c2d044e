#ifndef GOOSEBERRYWOOD_BASE_TIME_HPP
#define GOOSEBERRYWOOD_BASE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief Tag of the process-local monotonic clock. Its values mean nothing in another process.
struct mono_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<mono_clock>;
    static constexpr bool is_steady = true;
};

/// \ingroup base
/// \brief Tag of the wall clock (Unix time, microseconds).
struct wall_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<wall_clock>;
    static constexpr bool is_steady = false;
};

/// \ingroup base
/// \brief A point on the monotonic clock. Policy code takes it as an argument and reads no clock.
using mono_time = mono_clock::time_point;

/// \ingroup base
/// \brief A point on the wall clock, used on the wire and in logs.
using wall_time = wall_clock::time_point;

/// \ingroup base
/// \brief Microseconds; for constants and settings, since state stores deadlines.
using duration = mono_clock::duration;

static_assert(!std::is_same_v<mono_time, wall_time>,
              "monotonic and wall-clock times must not be mixed up");

/// \ingroup base
/// \brief Reads the monotonic clock.
[[nodiscard]] mono_time mono_now();

/// \ingroup base
/// \brief Reads the wall clock.
[[nodiscard]] wall_time wall_now();

/// \ingroup base
/// \brief Microseconds of a point on either clock.
template <class Clock>
[[nodiscard]] constexpr std::int64_t micros(std::chrono::time_point<Clock> at)
{
    return at.time_since_epoch().count();
}

} // namespace gooseberrywood::base

#endif
