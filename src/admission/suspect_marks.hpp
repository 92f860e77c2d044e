#ifndef GOOSEBERRYWOOD_ADMISSION_SUSPECT_MARKS_HPP
#define GOOSEBERRYWOOD_ADMISSION_SUSPECT_MARKS_HPP

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Lifetime of a mark after a crash.
inline constexpr base::duration suspect_lifetime = std::chrono::minutes(10);

/// \ingroup admission
/// \brief Number of distinct crashes from which a request is refused.
inline constexpr std::size_t crashes_to_refuse = 2;

/// \ingroup admission
/// \brief Crashes during which requests with one fingerprint were running.
struct suspect_mark
{
    std::vector<std::uint64_t> crash_ids;
    base::mono_time expires_at{};
};

/// \ingroup admission
/// \brief Marks by fingerprint.
struct suspect_marks
{
    /// Maximum number of marks. A crash marks at most the requests that run on one upstream.
    std::size_t max_marks = 10'000;
    std::unordered_map<std::uint64_t, suspect_mark> by_fingerprint;
};

/// \brief Adds crashes to a fingerprint's mark. Zero stands for no fingerprint and is never marked.
/// When the table is full, further fingerprints are not marked here; their Start frames still carry
/// their crash ids.
void add(suspect_marks& marks, std::uint64_t fingerprint, std::span<std::uint64_t const> crash_ids,
         base::mono_time expires_at, base::mono_time now);

/// \brief Adds the crash ids of a fingerprint's mark to a list. The list ends up sorted and without
/// duplicates.
void merge_crash_ids(suspect_marks const& marks, std::uint64_t fingerprint,
                     std::vector<std::uint64_t>& crash_ids, base::mono_time now);

} // namespace gooseberrywood::admission

#endif
