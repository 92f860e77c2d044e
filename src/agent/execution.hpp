#ifndef GOOSEBERRYWOOD_AGENT_EXECUTION_HPP
#define GOOSEBERRYWOOD_AGENT_EXECUTION_HPP

#include "agent/engine_stream.hpp"
#include "base/result.hpp"
#include "base/time.hpp"
#include "http/call.hpp"
#include "wire/message.hpp"

#include <functional>
#include <memory>
#include <string>

namespace gooseberrywood::agent
{

/// \ingroup agent
/// \brief How an execution ended without an answer.
struct execution_failure
{
    base::error why;
    /// False only if the request never left this process.
    bool sent = true;
    /// The connection broke before the answer was complete: the upstream may have crashed.
    bool connection_broke = false;
};

/// \ingroup agent
/// \brief What the owner of an execution supplies.
struct execution_handlers
{
    /// From here on the upstream may have run the attempt.
    std::function<void()> on_sending;
    std::function<void(wire::chunk)> on_chunk;
    std::function<void(wire::finished)> on_finished;
    std::function<void(execution_failure const&)> on_failed;
};

/// \ingroup agent
/// \brief One attempt that runs on an upstream. Dropping it cancels the upstream's work.
struct execution
{
    wire::start attempt;
    bool is_engine = true;
    execution_handlers handlers;
    base::mono_time began{};
    base::mono_time first_token_at{};
    /// When the upstream last sent something.
    base::mono_time progress_at{};
    engine_stream stream;
    /// Tokens that were read but not passed on yet, if the caller waits for a whole answer.
    engine_tokens held;
    base::mono_time held_since{};
    std::uint16_t status = 0;
    std::string content_type;
    std::string body;
    std::shared_ptr<http::call> call;
};

/// \ingroup agent
/// \brief Sends an attempt to its upstream.
/// \param url base URL of the upstream.
/// \param is_engine whether the answer is an engine's token stream.
/// \returns `bad_request` when nothing was sent because the body can't be used.
[[nodiscard]] base::result<std::unique_ptr<execution>> execute(SoupSession* session,
                                                               std::string_view url, bool is_engine,
                                                               wire::start attempt,
                                                               execution_handlers handlers);

} // namespace gooseberrywood::agent

#endif
