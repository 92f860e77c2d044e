#ifndef GOOSEBERRYWOOD_BASE_LOG_HPP
#define GOOSEBERRYWOOD_BASE_LOG_HPP

#include "base/result_code.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief Severity of a log line.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

/// \ingroup base
/// \brief One named value of a log line.
struct log_field
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, result_code> value;
};

/// \ingroup base
/// \brief Lines that the output did not take, since the start.
[[nodiscard]] std::uint64_t dropped_log_lines();

/// \ingroup base
/// \brief Most lines a second of one event at the levels `info` and `warning`; further ones are
/// left out, and the next one that is written tells how many were.
inline constexpr std::uint32_t max_lines_per_event = 100;

/// \ingroup base
/// \brief Sets the lowest level that is written. The start value is `info`.
void set_log_level(log_level lowest);

/// \ingroup base
/// \brief Formats one log line without its line end.
/// \param time_us Unix time in microseconds.
/// \returns a JSON object; bytes that are not valid UTF-8 are replaced.
[[nodiscard]] std::string format_log_line(std::int64_t time_us, log_level level,
                                          std::string_view event,
                                          std::initializer_list<log_field> fields);

/// \ingroup base
/// \brief Writes one JSON object and a line end to standard output. It never blocks: a line that
/// the output does not take at once is dropped, and the next one that gets through tells how many
/// were. \param event what happened, in snake_case. \param fields further values; they must not
/// contain a key.
void log_line(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace gooseberrywood::base

#endif
