#ifndef GOOSEBERRYWOOD_ROLLOUT_JOB_RECORD_HPP
#define GOOSEBERRYWOOD_ROLLOUT_JOB_RECORD_HPP

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Stored summary of a batch job; every process keeps a copy of it.
struct job_record
{
    std::string id;
    std::string team;
    /// Host and path of the submission request; they select the route.
    std::string host;
    std::string path;
    base::wall_time submitted_at{};
    /// Number of samples.
    std::size_t samples = 0;
    /// Set when the caller has ended the job.
    bool ended = false;
    /// Model that generates the samples, and the oldest version of its weights that is accepted.
    std::string model;
    std::uint32_t least_version = 0;
    /// Expected number of output tokens of all samples together.
    std::uint64_t expected_tokens = 0;
};

/// \ingroup rollout
/// \brief Encodes a job record, without its id, as JSON for the store.
[[nodiscard]] std::string encode(job_record const& record);

/// \ingroup rollout
/// \brief Decodes a job record from its stored form.
/// \returns nothing when the text is not a valid job record.
[[nodiscard]] std::optional<job_record> decode_job_record(std::string id, std::string_view text);

} // namespace gooseberrywood::rollout

#endif
