#ifndef GOOSEBERRYWOOD_TEST_PROPERTY_HPP
#define GOOSEBERRYWOOD_TEST_PROPERTY_HPP

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string_view>

namespace gooseberrywood::test
{

/// Runs a RapidCheck property inside a doctest case. RapidCheck prints its seed and the shrunk
/// case; RC_PARAMS="seed=N" repeats a run. The seed is fixed in CI by scripts/test.
template <class Property>
void check_property(std::string_view description, Property&& property)
{
    CHECK(rc::check(std::string(description), std::forward<Property>(property)));
}

} // namespace gooseberrywood::test

#endif
