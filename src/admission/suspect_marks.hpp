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
/// \brief How long a crash counts against a request.
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
    /// A crash marks at most as many requests as run on one upstream.
    std::size_t max_marks = 10'000;
    std::unordered_map<std::uint64_t, suspect_mark> by_fingerprint;
};

/// \brief Adds crashes to a fingerprint's mark. Zero is no fingerprint and is never marked. When
/// there is no room, further fingerprints stay unmarked here; their starts still carry their marks.
void add(suspect_marks& marks, std::uint64_t fingerprint, std::span<std::uint64_t const> crash_ids,
         base::mono_time expires_at, base::mono_time now);

/// \brief Adds the crash ids of a fingerprint's mark to a list. The list becomes sorted, without
/// doubles.
void merge_crash_ids(suspect_marks const& marks, std::uint64_t fingerprint,
                     std::vector<std::uint64_t>& crash_ids, base::mono_time now);

} // namespace gooseberrywood::admission

#endif
