#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_JOB_CHECKS_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_JOB_CHECKS_HPP

#include "process/support/site_service.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberrywood::test
{

/// Fails unless the results are each sample once, whole, and scored.
void check_whole(nlohmann::json const& results, std::string const& id,
                 std::vector<int> const& events);

/// State of an upstream's stand-in.
[[nodiscard]] nlohmann::json upstream_state(site_service const& of, std::string const& id);

/// State that a gateway dumps.
[[nodiscard]] nlohmann::json gateway_state(gateway_under_test const& of);

/// Waits until a gateway knows of so many gateways.
[[nodiscard]] bool wait_members(gateway_under_test const& at, std::size_t count);

/// Number of results that a gateway lists.
[[nodiscard]] std::size_t listed_count(site_service const& of, std::size_t gateway,
                                       std::string const& id);

} // namespace gooseberrywood::test

#endif
