#ifndef GOOSEBERRYWOOD_TEST_RUN_LOOP_HPP
#define GOOSEBERRYWOOD_TEST_RUN_LOOP_HPP

#include "base/event_source.hpp"
#include "base/time.hpp"

#include <chrono>

namespace gooseberrywood::test
{

/// Runs the main loop until the condition holds, for at most five seconds.
/// \returns whether the condition holds.
template <class Condition>
[[nodiscard]] bool run_until(Condition const& condition)
{
    bool timed_out = false;
    auto const timer =
        base::at(base::mono_now() + std::chrono::seconds(5), [&] { timed_out = true; });
    while (!condition() && !timed_out)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    return condition();
}

/// Runs the main loop for a while.
inline void run_for(base::duration duration)
{
    bool is_over = false;
    auto const timer = base::at(base::mono_now() + duration, [&] { is_over = true; });
    while (!is_over)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
}

} // namespace gooseberrywood::test

#endif
