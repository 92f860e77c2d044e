#ifndef GOOSEBERRYWOOD_GATEWAY_ROUTED_REQUEST_HPP
#define GOOSEBERRYWOOD_GATEWAY_ROUTED_REQUEST_HPP

#include "base/event_source.hpp"
#include "base/time.hpp"
#include "fleet/departures.hpp"
#include "fleet/outstanding_work.hpp"
#include "http/fetch.hpp"
#include "platform/upstream_calls.hpp"
#include "rollout/text_origin.hpp"

#include <cstddef>
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
/// \brief A sample of a job.
struct sample_ref
{
    std::string job_id;
    /// Index in the job.
    std::size_t index = 0;

    friend bool operator==(sample_ref const&, sample_ref const&) = default;
};

/// \ingroup gateway
/// \brief A request to route to an upstream of a service.
struct routed_spec
{
    std::string service;
    std::string host;
    /// Team of the caller; empty on open routes.
    std::string team;
    std::string request_id;
    /// Sample for which the request is made; none if a caller waits for it.
    std::optional<sample_ref> sample;
    platform::plain_call call;
    /// Software version that must serve the request; empty for any.
    std::string software_version;
    bool idempotent = false;
    /// Whether upstreams may end under the request, so that equal requests must be refused; see
    /// `crash_watch`.
    bool may_crash_upstreams = false;
    /// Equal for equal requests; computed when it is needed first.
    std::optional<std::uint64_t> fingerprint;
    /// Maximum number of upstreams that the request may run on.
    std::uint32_t max_runs = 1;
    base::mono_time deadline{};
    /// The request is refused when no upstream is free by this time.
    base::mono_time dispatch_deadline{};
    /// A request that may have run is not tried again when no upstream is free by this time or by
    /// `dispatch_deadline`.
    base::mono_time repeat_deadline = base::mono_time::max();
    /// Priority of the route; 0 is the most urgent.
    std::uint32_t priority = 0;
    /// When a try is not answered within this time, a second one is started in parallel. Zero
    /// disables hedging.
    base::duration hedge_delay{};
};

/// \ingroup gateway
/// \brief Kind of a `routed_outcome`.
enum class outcome_kind : std::uint8_t
{
    answered,
    /// The request did not run and will not run.
    refused,
    /// The request may have run, but there is no answer.
    unknown,
};

/// \ingroup gateway
/// \brief Outcome of a routed request.
struct routed_outcome
{
    outcome_kind kind{};
    /// Set when `kind` is `answered`.
    http::fetched_response answer;
    std::string upstream;
    /// Service and software version of that upstream when the request was sent.
    rollout::text_origin origin;
    /// The list that told that version was recent when the request was sent.
    bool is_origin_certain = false;
    /// When the request started to run, if it may have run.
    std::optional<base::wall_time> started_at;
    /// Set when there is no answer.
    base::error error;
    /// Set when the request is refused and it is known until when: for certain because of crashes,
    /// or as expected from the rate at which slots become free.
    std::optional<base::mono_time> refused_until;
    std::uint32_t tries = 0;
};

/// \ingroup gateway
/// \brief One try of a request at an upstream.
struct routed_try
{
    std::string upstream;
    fleet::incarnation incarnation;
    /// Service and software version of the upstream.
    rollout::text_origin origin;
    /// Expected cost, as counted for the upstream.
    fleet::request_work work;
    base::mono_time sent_at{};
    base::wall_time started_at{};
    /// The list that told that version was recent when the first byte was sent.
    bool is_origin_certain = false;
    /// The upstream left before a byte was sent.
    bool withdrawn = false;
    std::shared_ptr<http::fetch> fetch;
};

/// \ingroup gateway
/// \brief State of a request that is being routed.
struct routed_request
{
    std::uint64_t number = 0;
    routed_spec spec;
    std::function<void(routed_outcome)> done;
    /// Upstreams on which the request ran or may have run.
    std::vector<std::string> tried_upstreams;
    /// Number of tries that ran, may have run or are running.
    std::uint32_t runs = 0;
    /// Number of tries, including those that certainly did not run.
    std::uint32_t tries = 0;
    /// Tries in progress, by index.
    std::map<std::uint32_t, routed_try> running_tries;
    std::optional<base::wall_time> started_at;
    /// Last answer with a server error; delivered if no other try succeeds.
    std::optional<routed_outcome> failed_answer;
    /// When an upstream is expected to be free for a request that is refused.
    std::optional<base::mono_time> retry_at;
    base::event_source deadline_timer;
    base::event_source start_soon;
    base::event_source hedge_timer;
};

} // namespace gooseberrywood::gateway

#endif
