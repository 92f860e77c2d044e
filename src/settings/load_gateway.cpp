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

constexpr double min_processors = 0.001;
constexpr double max_processors = 1024;

constexpr std::size_t kilobyte = 1024;
constexpr std::int64_t max_text_kb = 900;

constexpr std::int64_t min_descriptors = 64;
constexpr std::int64_t max_descriptors = 1'048'576;

void read_address(toml_reader& reader, std::string_view key, std::string& value,
                  presence requirement)
{
    base::read(reader, key, value, requirement);
    if (!value.empty() && !base::ip_port_from(value))
    {
        add_fault(reader, key, "must be a numeric address and a port, IP:port");
    }
}

void read_milliseconds(toml_reader& reader, std::string_view key, base::duration& value)
{
    constexpr std::int64_t max_ms = 3'600'000;
    auto count = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    base::read_integer(reader, key, 1, max_ms, count);
    value = std::chrono::milliseconds(count);
}

void read_seconds(toml_reader& reader, std::string_view key, base::duration& value)
{
    constexpr base::duration max_duration = std::chrono::hours(1);
    base::read_seconds(reader, key, std::chrono::milliseconds(1), max_duration, value);
}

} // namespace

base::result<gateway_settings> parse_gateway(std::string_view text, std::string file)
{
    base::toml_faults faults{std::move(file), {}};
    auto const table = base::parse_toml(text, faults);
    gateway_settings settings;
    if (table)
    {
        toml_reader reader{&*table, "", &faults, {}};
        base::read_name(reader, "host", settings.host, presence::required);
        base::read_name(reader, "domain", settings.domain, presence::required);
        base::read(reader, "first_start", settings.first_start);
        read_address(reader, "listen_callers", settings.listen_callers, presence::optional);
        read_address(reader, "listen_ready", settings.listen_ready, presence::optional);
        read_address(reader, "listen_admin", settings.listen_admin, presence::required);
        read_address(reader, "listen_peers", settings.listen_peers, presence::optional);
        read_address(reader, "store", settings.store, presence::required);
        read_address(reader, "duties", settings.duties, presence::optional);
        read_milliseconds(reader, "key_withdrawal_ms", settings.key_withdrawal);
        read_milliseconds(reader, "leader_turn_ms", settings.leader_turn);
        read_seconds(reader, "usage_window_s", settings.usage_window);
        read_seconds(reader, "stop_grace_s", settings.stop_grace);
        read_milliseconds(reader, "job_end_ms", settings.job_end);
        read_milliseconds(reader, "configuration_in_effect_ms", settings.configuration_in_effect);
        read_milliseconds(reader, "departure_in_effect_ms", settings.departure_in_effect);
        base::read_decimal(reader, "processor_share", min_processors, max_processors,
                           settings.processor_share);
        base::read_decimal(reader, "processor_cores", min_processors, max_processors,
                           settings.processor_cores);
        read_memory_limits(reader, settings.memory);
        read_size(reader, "max_descriptors", min_descriptors, max_descriptors, 1,
                  settings.max_descriptors);
        read_size(reader, "max_text_kb", 1, max_text_kb, kilobyte, settings.max_text_bytes);
        base::check_unknown_keys(reader);
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
