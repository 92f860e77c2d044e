#ifndef GOOSEBERRYWOOD_GATEWAY_RESULT_WRITER_HPP
#define GOOSEBERRYWOOD_GATEWAY_RESULT_WRITER_HPP

#include "gateway/gateway.hpp"

#include <cstddef>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Creates the result of a sample and queues it for storage. The result is listed once it is
/// stored.
///
/// \param done false when the sample was given up.
void finish_sample(gateway& self, owned_job& job, std::size_t index, bool done);

/// \ingroup gateway
/// \brief Writes pending results and progress of jobs for which no write is scheduled, for example
/// after the store was unavailable.
void write_pending_results(gateway& self);

} // namespace gooseberrywood::gateway

#endif
