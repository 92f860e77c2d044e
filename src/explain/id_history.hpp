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
    /// The line as it was logged.
    std::string text;
};

/// \ingroup explain
/// \brief What the logs of some processes say about one request, sample, job, order or window.
struct id_history
{
    std::string id;
    std::vector<history_line> lines;
};

/// \ingroup explain
/// \brief Adds a line of a log if it is about the id of the history. Lines may have other text
/// before the JSON object, such as the name of a host; lines that are not JSON are left out.
void add_line(id_history& history, std::string_view line);

/// \ingroup explain
/// \brief Puts the lines in the order of their times, whichever process wrote them.
void sort_lines(id_history& history);

/// \ingroup explain
/// \brief One sentence: how it ended, and which input decided it.
[[nodiscard]] std::string summary(id_history const& history);

} // namespace gooseberrywood::explain

#endif
