#ifndef GOOSEBERRYWOOD_GATEWAY_SAMPLE_RUN_HPP
#define GOOSEBERRYWOOD_GATEWAY_SAMPLE_RUN_HPP

#include "base/time.hpp"
#include "fleet/departures.hpp"
#include "fleet/outstanding_work.hpp"
#include "http/call.hpp"
#include "platform/event_stream.hpp"
#include "rollout/text_origin.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief One execution of a sample on an upstream, which streams its events.
struct sample_run
{
    std::string job_id;
    /// Index of the sample in its job.
    std::size_t index = 0;
    std::string upstream;
    fleet::incarnation incarnation;
    /// Service and software version of the upstream.
    rollout::text_origin origin;
    /// Number of events that are still expected, as counted for the upstream.
    fleet::request_work work;
    std::shared_ptr<http::call> call;
    platform::event_stream stream;
    /// Version of the weights that the request requires of the upstream; 0 for any.
    std::uint32_t expected_version = 0;
    /// Version of the weights that generates the current events.
    std::uint32_t version = 0;
    /// The upstream refused to run the sample. The rest of the answer is still read, so that the
    /// connection can be reused.
    bool refused = false;
    /// The upstream left before a byte was sent.
    bool withdrawn = false;
    /// The head of the answer was received.
    bool answered = false;
    /// The answer was accepted and its body carries events.
    bool is_streaming = false;
    base::mono_time started_at{};
    base::mono_time last_event_at{};
    /// The run is aborted if no event arrives by then.
    base::mono_time silence_deadline{};
    /// The sample is not moved to another upstream before this time, because it was moved recently.
    base::mono_time stays_until{};
};

} // namespace gooseberrywood::gateway

#endif
