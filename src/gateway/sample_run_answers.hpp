#ifndef GOOSEBERRYWOOD_GATEWAY_SAMPLE_RUN_ANSWERS_HPP
#define GOOSEBERRYWOOD_GATEWAY_SAMPLE_RUN_ANSWERS_HPP

#include "gateway/gateway.hpp"
#include "http/call.hpp"

#include <cstdint>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Makes the handlers of the call of a run. They append the events of the answer to the text
/// of the sample, and end the run when the answer is complete, refused or wrong.
[[nodiscard]] http::call_handlers make_run_handlers(gateway& self, std::uint64_t run_number);

} // namespace gooseberrywood::gateway

#endif
