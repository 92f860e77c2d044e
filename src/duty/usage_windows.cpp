#include "duty/usage_windows.hpp"

#include "base/json_fields.hpp"

#include <fmt/format.h>

namespace gooseberrywood::duty
{

std::int64_t window_at(base::duration length, base::wall_time time)
{
    return base::micros(time) / length.count();
}

base::wall_time window_end(base::duration length, std::int64_t window)
{
    return base::wall_time{base::wall_clock::duration{(window + 1) * length.count()}};
}

void count_request(usage_windows& usage, std::string const& team, base::wall_time started_at)
{
    ++usage.counts[window_at(usage.length, started_at)][team];
}

std::string encode_counts(std::map<std::string, std::uint64_t> const& counts)
{
    return nlohmann::json(counts).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::map<std::string, std::uint64_t>> decode_counts(std::string_view text)
{
    auto const body = base::parse_object(text);
    if (!body)
    {
        return std::nullopt;
    }
    std::map<std::string, std::uint64_t> counts;
    for (auto const& [team, count] : body->items())
    {
        if (!count.is_number_unsigned())
        {
            return std::nullopt;
        }
        counts[team] = count.get<std::uint64_t>();
    }
    return counts;
}

std::string usage_prefix(std::int64_t window)
{
    return fmt::format("usage/{}/", window);
}

std::string usage_key(std::int64_t window, std::string_view host)
{
    return fmt::format("usage/{}/counts/{}", window, host);
}

std::string report_key(std::int64_t window)
{
    return fmt::format("usage/{}/report", window);
}

} // namespace gooseberrywood::duty
