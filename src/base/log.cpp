#include "base/log.hpp"

#include "base/time.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdio>

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
    fmt::print(stderr, "{}\n", format_log_line(micros(wall_now()), level, event, fields));
}

} // namespace gooseberrywood::base
