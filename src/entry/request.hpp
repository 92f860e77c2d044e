#ifndef GOOSEBERRYWOOD_ENTRY_REQUEST_HPP
#define GOOSEBERRYWOOD_ENTRY_REQUEST_HPP

#include "base/request_id.hpp"
#include "base/time.hpp"
#include "entry/caller_request.hpp"
#include "http/exchange.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace gooseberrywood::entry
{

/// \ingroup entry
/// \brief A caller's request that is not answered yet.
struct request
{
    base::request_id id;
    caller_request caller;
    std::shared_ptr<http::exchange> exchange;
    base::mono_time deadline{};
    std::uint32_t attempt = 0;
    /// Where the current attempt is; empty while the request waits.
    std::string agent_host;
    std::string upstream;
    /// Tokens that were accepted from upstreams.
    std::uint32_t next_token = 0;
    /// Events of all accepted tokens, kept to answer as a whole or to resume elsewhere.
    std::string events;
};

} // namespace gooseberrywood::entry

#endif
