#ifndef GOOSEBERRYWOOD_GATEWAY_TEXT_LIMITS_HPP
#define GOOSEBERRYWOOD_GATEWAY_TEXT_LIMITS_HPP

#include "gateway/sample_runs.hpp"

#include <cstddef>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Counts bytes that are about to be appended to the text of a running sample. The texts of
/// all samples and the responses of upstreams share one budget. If a text is evicted from it, it is
/// discarded, and its sample starts again.
/// \returns whether the text may hold the bytes.
[[nodiscard]] bool count_text_bytes(gateway& self, sample_run const& run,
                                    run_context const& context, std::size_t bytes);

/// \ingroup gateway
/// \brief Excludes the complete text of a sample from eviction.
void retain_text(rollout::sample_progress& progress);

} // namespace gooseberrywood::gateway

#endif
