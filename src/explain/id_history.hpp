#ifndef GOOSEBERRYWOOD_EXPLAIN_ID_HISTORY_HPP
#define GOOSEBERRYWOOD_EXPLAIN_ID_HISTORY_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::explain
{

/// \ingroup explain
/// \brief One log line about an id.
struct history_line
{
    std::int64_t time_us = 0;
    std::string event;
    /// Complete line, including text before the JSON object.
    std::string text;
};

/// \ingroup explain
/// \brief Log lines of any number of processes about one request, sample, job, upstream, host or
/// usage window.
struct id_history
{
    std::string id;
    std::vector<history_line> lines;
};

/// \ingroup explain
/// \brief Adds a log line if it names the id of the history. Text before the JSON object, such as
/// a host name, is allowed; lines without a valid JSON object are ignored.
void add_line(id_history& history, std::string_view line);

/// \ingroup explain
/// \brief Sorts the lines of all processes by time; lines with equal times keep their order.
void sort_lines(id_history& history);

/// \ingroup explain
/// \brief Describes in one sentence the last final event of the id, with the fields that explain
/// it.
[[nodiscard]] std::string summary(id_history const& history);

} // namespace gooseberrywood::explain

#endif
