#include "settings/load_gateway.hpp"

#include "base/file.hpp"
#include "base/ip_port.hpp"
#include "base/toml_reader.hpp"

#include <cstdint>
#include <utility>

namespace gooseberrywood::settings
{

namespace
{

using base::presence;
using base::toml_reader;

constexpr double least_processors = 0.001;
constexpr double most_processors = 1024;

void read_address(toml_reader& from, std::string_view key, std::string& into, presence needed)
{
    base::read(from, key, into, needed);
    if (!into.empty() && !base::ip_port_from(into))
    {
        add_fault(from, key, "must be a numeric address and a port, IP:port");
    }
}

void read_milliseconds(toml_reader& from, std::string_view key, base::duration& into)
{
    constexpr std::int64_t longest_ms = 3'600'000;
    auto value = std::chrono::duration_cast<std::chrono::milliseconds>(into).count();
    base::read_integer(from, key, 1, longest_ms, value);
    into = std::chrono::milliseconds(value);
}

void read_whole_seconds(toml_reader& from, std::string_view key, base::duration& into)
{
    constexpr base::duration longest = std::chrono::hours(1);
    base::read_seconds(from, key, std::chrono::milliseconds(1), longest, into);
}

} // namespace

base::result<gateway_settings> parse_gateway(std::string_view text, std::string file)
{
    base::toml_faults faults{std::move(file), {}};
    auto const table = base::parse_toml(text, faults);
    gateway_settings settings;
    if (table)
    {
        toml_reader from{&*table, "", &faults, {}};
        base::read_name(from, "host", settings.host, presence::required);
        base::read_name(from, "domain", settings.domain, presence::required);
        base::read(from, "first_start", settings.first_start);
        read_address(from, "listen_callers", settings.listen_callers, presence::optional);
        read_address(from, "listen_ready", settings.listen_ready, presence::optional);
        read_address(from, "listen_admin", settings.listen_admin, presence::required);
        read_address(from, "listen_peers", settings.listen_peers, presence::optional);
        read_address(from, "store", settings.store, presence::required);
        read_address(from, "duties", settings.duties, presence::optional);
        read_milliseconds(from, "key_withdrawal_ms", settings.key_withdrawal);
        read_milliseconds(from, "leader_turn_ms", settings.leader_turn);
        read_whole_seconds(from, "usage_window_s", settings.usage_window);
        read_whole_seconds(from, "stop_grace_s", settings.stop_grace);
        read_milliseconds(from, "job_end_ms", settings.job_end);
        read_milliseconds(from, "configuration_in_effect_ms", settings.configuration_in_effect);
        read_milliseconds(from, "departure_in_effect_ms", settings.departure_in_effect);
        base::read_decimal(from, "processor_share", least_processors, most_processors,
                           settings.processor_share);
        base::read_decimal(from, "processor_cores", least_processors, most_processors,
                           settings.processor_cores);
        base::check_unknown_keys(from);
    }
    if (!faults.found.empty())
    {
        return tl::unexpected(to_error(std::move(faults), base::result_code::settings_invalid));
    }
    return settings;
}

base::result<gateway_settings> load_gateway(std::string const& file)
{
    auto const text = base::read_file(file);
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    return parse_gateway(*text, file);
}

} // namespace gooseberrywood::settings
