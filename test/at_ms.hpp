#ifndef GOOSEBERRYWOOD_TEST_AT_MS_HPP
#define GOOSEBERRYWOOD_TEST_AT_MS_HPP

#include "base/time.hpp"

#include <cstdint>

namespace gooseberrywood::test
{

/// A point in time of a test, which begins at 0.
[[nodiscard]] constexpr base::mono_time at_ms(std::int64_t milliseconds)
{
    return base::mono_time{std::chrono::milliseconds(milliseconds)};
}

} // namespace gooseberrywood::test

#endif
