#include "agent/engine_request.hpp"

#include "completion/parse_body.hpp"

#include <nlohmann/json.hpp>

namespace gooseberrywood::agent
{

base::result<std::string> engine_body(wire::start const& attempt)
{
    auto parsed = completion::parse_body(attempt.body);
    if (!parsed)
    {
        return tl::unexpected(parsed.error());
    }
    auto& body = *parsed;
    // Streamed even if the caller wants a whole answer: so a lost attempt can be resumed.
    body["stream"] = true;
    body["priority"] = attempt.priority;
    if (attempt.resume_tokens > 0)
    {
        body["resume"] = {{"tokens", attempt.resume_tokens}, {"text", attempt.resume_text}};
    }
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace gooseberrywood::agent
