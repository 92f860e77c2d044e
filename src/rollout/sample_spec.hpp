#ifndef GOOSEBERRYWOOD_ROLLOUT_SAMPLE_SPEC_HPP
#define GOOSEBERRYWOOD_ROLLOUT_SAMPLE_SPEC_HPP

#include "http/exchange.hpp"
#include "rollout/reward_call.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief One sample of a batch job, as submitted.
struct sample_spec
{
    std::string id;
    /// Samples of a group share their prompt.
    std::string group;
    /// Path of the request to the upstream.
    std::string path;
    /// Headers that are passed to the upstream unchanged.
    std::vector<http::header> headers;
    std::string body;
    std::string model;
    /// Expected number of output tokens: the estimate of the caller, or else the maximum.
    std::uint32_t expected_tokens = 0;
    std::optional<reward_call> reward;
};

} // namespace gooseberrywood::rollout

#endif
