#include "base/log.hpp"

#include "base/time.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <climits>
#include <map>
#include <optional>
#include <poll.h>
#include <unistd.h>
#include <utility>

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
std::uint64_t all_dropped_lines = 0;

/// Lines of one event in the current second.
struct event_rate
{
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint32_t left_out = 0;
};

std::map<std::string, event_rate, std::less<>> event_rates;

/// \returns how many lines of the event were left out before this one, or nothing when it is left
/// out too.
std::optional<std::uint32_t> admit(std::string_view event)
{
    constexpr std::int64_t micros_per_second = 1'000'000;
    auto at = event_rates.find(event);
    if (at == event_rates.end())
    {
        at = event_rates.emplace(event, event_rate{}).first;
    }
    auto& rate = at->second;
    auto const second = micros(mono_now()) / micros_per_second;
    if (rate.second != second)
    {
        rate.second = second;
        rate.written = 0;
    }
    if (rate.written >= max_lines_per_event)
    {
        ++rate.left_out;
        return std::nullopt;
    }
    ++rate.written;
    return std::exchange(rate.left_out, 0U);
}

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
        ++all_dropped_lines;
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

std::uint64_t dropped_log_lines()
{
    return all_dropped_lines;
}

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
    if (level == log_level::info || level == log_level::warning)
    {
        auto const left_out = admit(event);
        if (!left_out)
        {
            return;
        }
        if (*left_out > 0)
        {
            write_line(format_log_line(micros(wall_now()), level, "log_lines_left_out",
                                       {{"of", event}, {"count", std::int64_t{*left_out}}}) +
                       '\n');
        }
    }
    write_line(format_log_line(micros(wall_now()), level, event, fields) + '\n');
}

} // namespace gooseberrywood::base
