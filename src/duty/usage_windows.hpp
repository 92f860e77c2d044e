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
/// \brief Counts of one process by window and team.
struct usage_windows
{
    base::duration length = std::chrono::seconds(5);
    std::map<std::int64_t, std::map<std::string, std::uint64_t>> counts;
};

/// \ingroup duty
/// \brief The window that a point in time lies in.
[[nodiscard]] std::int64_t window_at(base::duration length, base::wall_time at);

/// \ingroup duty
/// \brief End of a window.
[[nodiscard]] base::wall_time window_end(base::duration length, std::int64_t window);

/// \ingroup duty
/// \brief Counts a request that began to run.
void count_request(usage_windows& in, std::string const& team, base::wall_time began);

/// \ingroup duty
/// \brief Counts of a team map as text for the store.
[[nodiscard]] std::string encode_counts(std::map<std::string, std::uint64_t> const& counts);

/// \ingroup duty
/// \returns nothing when the text is not a map of counts.
[[nodiscard]] std::optional<std::map<std::string, std::uint64_t>>
decode_counts(std::string_view text);

/// \ingroup duty
/// \brief Keys under which processes leave their counts of a window, and the leader the report.
[[nodiscard]] std::string usage_prefix(std::int64_t window);
[[nodiscard]] std::string usage_key(std::int64_t window, std::string_view host);
[[nodiscard]] std::string report_key(std::int64_t window);

} // namespace gooseberrywood::duty

#endif
