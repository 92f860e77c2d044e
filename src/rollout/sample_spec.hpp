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
/// \brief One item of a batch job, as submitted.
struct sample_spec
{
    std::string id;
    /// Samples of a group share their prompt.
    std::string group;
    /// Path at the upstream.
    std::string path;
    /// Headers for the upstream, unchanged.
    std::vector<http::header> headers;
    std::string body;
    std::string model;
    /// Expected number of output tokens: the caller's estimate, else the maximum.
    std::uint32_t expected_tokens = 0;
    std::optional<reward_call> reward;
};

} // namespace gooseberrywood::rollout

#endif
