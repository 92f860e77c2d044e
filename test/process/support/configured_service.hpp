#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_CONFIGURED_SERVICE_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_CONFIGURED_SERVICE_HPP

#include "process/support/deployment.hpp"

#include <chrono>
#include <future>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::test
{

using steady_time = std::chrono::steady_clock::time_point;

/// Stated target for withdrawn keys, domains out, leaving hosts and stale entries (invariants 6, 11
/// and 15).
inline constexpr std::chrono::seconds withdrawal_target{5};

/// Stated target for a configuration to be in effect everywhere (invariant 17).
inline constexpr std::chrono::seconds in_effect_target{10};

/// A bundle with the teams zlatar and kumrovec, a model route and an open service route.
/// \param kumrovec_key key of the team kumrovec; empty: it has none.
[[nodiscard]] std::string make_bundle(int version, std::string_view kumrovec_key = "kumrovec-key");

/// Three hosts in three failure domains and two entries, with the platform's stand-in.
struct configured_service
{
    configured_service();

    deployment processes;

    [[nodiscard]] entry_host& entry(std::size_t index = 0);
    [[nodiscard]] agent_host& agent(std::size_t index);
};

/// Waits until all agents count as evidence for the entries, which takes 15 s from their start.
void wait_vouching(configured_service const& of);

/// The configuration version of every agent and entry.
[[nodiscard]] std::vector<std::uint64_t> versions(configured_service const& of);

/// The version in the store.
[[nodiscard]] std::uint64_t stored_version(configured_service const& of);

/// A request to the open route.
[[nodiscard]] http_request open_request(entry_host const& at);

/// A short completion.
[[nodiscard]] http_request short_completion(entry_host const& at, std::string_view key);

/// Name of the error in an answer; `ok` for one without, `connection_lost` for none.
[[nodiscard]] std::string outcome_of(base::result<http_response> const& answer);

/// How a stream ended.
struct stream_end
{
    bool done = false;
    std::string error;
    steady_time at{};
};

/// Reads a stream to its end in a thread of its own.
[[nodiscard]] std::future<stream_end> read_stream(http_request request);

/// Requests that the engine of a host runs now.
[[nodiscard]] int running(agent_host const& at);

} // namespace gooseberrywood::test

#endif
