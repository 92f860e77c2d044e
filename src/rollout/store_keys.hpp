#ifndef GOOSEBERRYWOOD_ROLLOUT_STORE_KEYS_HPP
#define GOOSEBERRYWOOD_ROLLOUT_STORE_KEYS_HPP

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace gooseberrywood::rollout
{

/// Prefix of the small entries that every process polls: members, job records and job owners.
inline constexpr std::string_view shared_prefix = "shared/";
inline constexpr std::string_view member_prefix = "shared/member/";
inline constexpr std::string_view record_prefix = "shared/job/";
inline constexpr std::string_view owner_prefix = "shared/owner/";
inline constexpr std::string_view leader_key = "shared/leader";
/// Assignment of models to upstreams; written by the leader.
inline constexpr std::string_view shares_key = "shared/shares";
/// Prefix of the marks of requests under which upstreams crashed; see `encode_crash_notice`.
inline constexpr std::string_view crash_mark_prefix = "shared/crash/";

// Longest key in the store: 200 bytes. The keys of a job add at most 24 bytes to its id.
inline constexpr std::size_t max_job_id_bytes = 160;

/// Whether an id, the caller's text, may be part of the keys of a job. A slash would mix the
/// entries of two jobs, and bytes that are not ASCII may have no form in the store's messages.
[[nodiscard]] inline bool is_valid_job_id(std::string_view id)
{
    return !id.empty() && id.size() <= max_job_id_bytes &&
           std::all_of(id.begin(), id.end(),
                       [](unsigned char c) { return c > ' ' && c < 0x7F && c != '/'; });
}

/// Prefix of the other entries of a job: its specification, its results and its saved progress.
[[nodiscard]] inline std::string job_prefix(std::string_view id)
{
    return fmt::format("job/{}/", id);
}

[[nodiscard]] inline std::string spec_prefix(std::string_view id)
{
    return fmt::format("job/{}/spec/", id);
}

[[nodiscard]] inline std::string spec_key(std::string_view id, std::size_t part)
{
    return fmt::format("job/{}/spec/{:04}", id, part);
}

[[nodiscard]] inline std::string result_prefix(std::string_view id)
{
    return fmt::format("job/{}/result/", id);
}

/// Key of a chunk of results; the keys sort by the position of the first result in the chunk.
[[nodiscard]] inline std::string result_key(std::string_view id, std::size_t position)
{
    return fmt::format("job/{}/result/{:08}", id, position);
}

[[nodiscard]] inline std::string progress_key(std::string_view id)
{
    return fmt::format("job/{}/progress", id);
}

/// Key of the origin of a stream that a caller may take up again.
/// \param attempt_hash hash of the id of the caller's attempt that began the stream. The id itself
/// is the caller's text, of any length.
[[nodiscard]] inline std::string stream_origin_key(std::string_view attempt_hash)
{
    return fmt::format("stream/{}", attempt_hash);
}

[[nodiscard]] inline std::string record_key(std::string_view id)
{
    return fmt::format("{}{}", record_prefix, id);
}

[[nodiscard]] inline std::string owner_key(std::string_view id)
{
    return fmt::format("{}{}", owner_prefix, id);
}

[[nodiscard]] inline std::string member_key(std::string_view host)
{
    return fmt::format("{}{}", member_prefix, host);
}

} // namespace gooseberrywood::rollout

#endif
