#include "base/log.hpp"

#include "base/time.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace gooseberrywood::base
{

namespace
{

log_level lowest_level = log_level::info;

std::string_view name_of(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

// Lines that were not written since the last one that was.
std::uint64_t dropped_lines = 0;

/// A pipe that is writable takes this much without blocking.
constexpr std::size_t most_at_once = PIPE_BUF;

bool is_writable()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/// Never blocks: a line that standard output does not take at once is dropped and counted.
void write_line(std::string line)
{
    if (line.size() > most_at_once)
    {
        line.resize(most_at_once - 1);
        line.push_back('\n');
    }
    if (!is_writable() ||
        write(STDOUT_FILENO, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
    {
        ++dropped_lines;
        return;
    }
    if (dropped_lines > 0 && is_writable())
    {
        auto const note =
            format_log_line(micros(wall_now()), log_level::warning, "log_lines_dropped",
                            {{"count", static_cast<std::int64_t>(dropped_lines)}}) +
            '\n';
        dropped_lines = 0;
        write_line(note);
    }
}

} // namespace

void set_log_level(log_level lowest)
{
    lowest_level = lowest;
}

std::string format_log_line(std::int64_t time_us, log_level level, std::string_view event,
                            std::initializer_list<log_field> fields)
{
    nlohmann::ordered_json line;
    line["time_us"] = time_us;
    line["level"] = name_of(level);
    line["event"] = event;
    for (auto const& field : fields)
    {
        std::string const name(field.name);
        if (auto const* text = std::get_if<std::string_view>(&field.value))
        {
            line[name] = *text;
        }
        else if (auto const* number = std::get_if<std::int64_t>(&field.value))
        {
            line[name] = *number;
        }
        else
        {
            auto const code = std::get<result_code>(field.value);
            line[name] = static_cast<std::uint16_t>(code);
            line[name + "_name"] = info(code).name;
        }
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void log_line(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < lowest_level)
    {
        return;
    }
    write_line(format_log_line(micros(wall_now()), level, event, fields) + '\n');
}

} // namespace gooseberrywood::base
