#ifndef GOOSEBERRYWOOD_TEST_CONFIG_NETWORK_CHECKS_HPP
#define GOOSEBERRYWOOD_TEST_CONFIG_NETWORK_CHECKS_HPP

#include "config_network.hpp"

#include <set>
#include <string>

namespace gooseberrywood::test
{

/// Virtual time between two rounds of checks.
inline constexpr base::duration step_time = std::chrono::milliseconds(50);

/// Keys that a record's bundle gives.
[[nodiscard]] std::set<std::string> keys_of(config::record const& of);

/// Notes a violation if an entry serves a key that was withdrawn too long ago.
void check_withdrawals(network& of, process const& entry);

/// Notes a violation if a version reverts, or is not in effect everywhere in time.
void check_versions(network& of);

} // namespace gooseberrywood::test

#endif
