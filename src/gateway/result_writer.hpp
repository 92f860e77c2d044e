#ifndef GOOSEBERRYWOOD_GATEWAY_RESULT_WRITER_HPP
#define GOOSEBERRYWOOD_GATEWAY_RESULT_WRITER_HPP

#include "gateway/gateway.hpp"

#include <cstddef>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Makes the result of a sample and hands it to the store; it is listed once the store has
/// it.
///
/// \param done false when the sample was given up.
void finish_sample(gateway& self, owned_job& job, std::size_t index, bool done);

/// \ingroup gateway
/// \brief Stores what waits although no write is planned, as after a pause of the store.
void write_pending_results(gateway& self);

} // namespace gooseberrywood::gateway

#endif
