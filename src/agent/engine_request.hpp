#ifndef GOOSEBERRYWOOD_AGENT_ENGINE_REQUEST_HPP
#define GOOSEBERRYWOOD_AGENT_ENGINE_REQUEST_HPP

#include "base/result.hpp"
#include "wire/message.hpp"

#include <string>

namespace gooseberrywood::agent
{

/// \ingroup agent
/// \brief The JSON body for an engine: the caller's body, always streamed, with the attempt's
/// priority and the place to resume at.
/// \returns `bad_request` when the caller's body is not a JSON object.
[[nodiscard]] base::result<std::string> engine_body(wire::start const& attempt);

} // namespace gooseberrywood::agent

#endif
