#ifndef GOOSEBERRYWOOD_DUTY_USAGE_WINDOWS_HPP
#define GOOSEBERRYWOOD_DUTY_USAGE_WINDOWS_HPP

#include "base/time.hpp"
#include "duty/usage_report.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief Request counts of one process, by window and team.
struct usage_windows
{
    /// Length of a window.
    base::duration length = std::chrono::seconds(5);
    std::map<std::int64_t, std::map<std::string, std::uint64_t>> counts;
};

/// \ingroup duty
/// \brief Number of the window that contains a point in time.
[[nodiscard]] std::int64_t window_at(base::duration length, base::wall_time time);

/// \ingroup duty
/// \brief End time of a window.
[[nodiscard]] base::wall_time window_end(base::duration length, std::int64_t window);

/// \ingroup duty
/// \brief Counts a request in the window in which it started.
void count_request(usage_windows& usage, std::string const& team, base::wall_time started_at);

/// \ingroup duty
/// \brief Encodes request counts by team as JSON for the store.
[[nodiscard]] std::string encode_counts(std::map<std::string, std::uint64_t> const& counts);

/// \ingroup duty
/// \brief Decodes request counts by team.
/// \returns nothing when the text is not a valid map of counts.
[[nodiscard]] std::optional<std::map<std::string, std::uint64_t>>
decode_counts(std::string_view text);

/// \ingroup duty
/// \brief Prefix of all keys of a window.
[[nodiscard]] std::string usage_prefix(std::int64_t window);

/// \ingroup duty
/// \brief Key under which a process stores its counts of a window.
[[nodiscard]] std::string usage_key(std::int64_t window, std::string_view host);

/// \ingroup duty
/// \brief Key under which the leader stores the report of a window.
[[nodiscard]] std::string report_key(std::int64_t window);

} // namespace gooseberrywood::duty

#endif
