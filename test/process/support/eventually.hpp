#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_EVENTUALLY_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_EVENTUALLY_HPP

#include <chrono>
#include <thread>

namespace gooseberrywood::test
{

/// Time that a condition across processes may take on a busy machine before a test fails.
inline constexpr std::chrono::seconds patience{10};

/// Asks for a condition again and again until it holds.
/// \returns false when it did not hold within the time.
template <class Condition>
[[nodiscard]] bool eventually(Condition&& condition, std::chrono::milliseconds within = patience)
{
    auto const deadline = std::chrono::steady_clock::now() + within;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= deadline)
        {
            return false;
        }
        // Keeps the polling from taking the processor from the processes under test.
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace gooseberrywood::test

#endif
