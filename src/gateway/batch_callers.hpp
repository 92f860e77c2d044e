#ifndef GOOSEBERRYWOOD_GATEWAY_BATCH_CALLERS_HPP
#define GOOSEBERRYWOOD_GATEWAY_BATCH_CALLERS_HPP

#include "gateway/gateway.hpp"
#include "platform/batch_calls.hpp"
#include "platform/caller_head.hpp"

#include <memory>
#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Accepts a batch job once it is in the store.
void submit_job(gateway& self, std::shared_ptr<http::exchange> const& from,
                platform::caller_head const& head, fleet::route const& route,
                std::string const& team);

/// \ingroup gateway
/// \brief Answers a call about a batch job: from memory if this process owns it, else from the
/// store.
void handle_batch_call(gateway& self, std::shared_ptr<http::exchange> const& from,
                       platform::batch_call const& call, std::string const& team);

} // namespace gooseberrywood::gateway

#endif
