#ifndef GOOSEBERRYWOOD_GATEWAY_ROUTED_REQUEST_HPP
#define GOOSEBERRYWOOD_GATEWAY_ROUTED_REQUEST_HPP

#include "base/event_source.hpp"
#include "base/time.hpp"
#include "http/fetch.hpp"
#include "platform/upstream_calls.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief What is to be sent to an upstream of a service.
struct routed_spec
{
    std::string service;
    std::string host;
    /// Empty on open routes.
    std::string team;
    std::string request_id;
    platform::plain_call call;
    bool idempotent = false;
    /// Most upstreams on which it may run.
    std::uint32_t max_runs = 1;
    base::mono_time deadline{};
    /// It is refused when no upstream is free by then.
    base::mono_time dispatch_deadline{};
    /// A try that has no answer after this gets a second one beside it.
    base::duration hedge_delay{};
};

/// \ingroup gateway
/// \brief How a routed request ended.
enum class outcome_kind : std::uint8_t
{
    answered,
    /// It ran nowhere and never will.
    refused,
    /// It may have run; there is no answer.
    unknown,
};

/// \ingroup gateway
/// \brief Outcome of a routed request.
struct routed_outcome
{
    outcome_kind kind{};
    /// Set when it was answered.
    http::fetched_response answer;
    std::string upstream;
    /// When it began to run, if it did.
    std::optional<base::wall_time> began;
    /// Why there is no answer.
    base::error error;
    std::uint32_t tries = 0;
};

/// \ingroup gateway
/// \brief One try at an upstream.
struct routed_try
{
    std::string upstream;
    base::mono_time sent_at{};
    base::wall_time began{};
    std::shared_ptr<http::fetch> fetch;
};

/// \ingroup gateway
/// \brief A request on its way to an upstream of its service.
struct routed_request
{
    std::uint64_t number = 0;
    routed_spec spec;
    std::function<void(routed_outcome)> done;
    /// Upstreams on which it ran or may have run.
    std::vector<std::string> tried;
    std::uint32_t runs = 0;
    std::uint32_t tries = 0;
    std::map<std::uint32_t, routed_try> running;
    std::optional<base::wall_time> began;
    /// Answer of an upstream that failed, in case no other one does better.
    std::optional<routed_outcome> failed_answer;
    base::event_source deadline_timer;
    base::event_source retry_timer;
    base::event_source hedge_timer;
};

} // namespace gooseberrywood::gateway

#endif
