#include "settings/load.hpp"

#include "base/file.hpp"
#include "base/ip_port.hpp"
#include "base/toml_reader.hpp"

#include <fmt/format.h>

#include <array>

namespace gooseberrywood::settings
{

namespace
{

using base::presence;
using base::toml_reader;

constexpr std::size_t public_key_hex_digits = 64;

void read_listen_address(toml_reader& reader, std::string_view key, std::string& value)
{
    base::read(reader, key, value);
    if (!value.empty() && !base::ip_port_from(value))
    {
        add_fault(reader, key, "must be a numeric address and a port, IP:port");
    }
}

void read_peer_address(toml_reader& reader, std::string_view key, std::string& value)
{
    base::read(reader, key, value, presence::required);
    auto const address = base::ip_port_from(value);
    if (!value.empty() && (!address || address->port == 0))
    {
        add_fault(reader, key, "must be a numeric address and a port from 1, IP:port");
    }
}

void read_base_url(toml_reader& reader, std::string_view key, std::string& value,
                   presence requirement)
{
    base::read(reader, key, value, requirement);
    if (!value.empty() && !base::ip_port_from_url(value))
    {
        add_fault(reader, key, "must be http://IP:port with a numeric address and no path");
    }
}

void read_log_level(toml_reader& reader, std::string& level)
{
    constexpr std::array<std::string_view, 4> levels = {"debug", "info", "warning", "error"};
    base::read(reader, "log_level", level);
    if (std::find(levels.begin(), levels.end(), level) == levels.end())
    {
        add_fault(reader, "log_level", "must be debug, info, warning or error");
    }
}

constexpr base::duration max_claim_horizon = std::chrono::hours(24);

void read_public_key(toml_reader& reader, process_settings& settings)
{
    base::read(reader, "bundle_public_key", settings.bundle_public_key);
    if (has(reader, "bundle_public_key") && !settings.bundle_public_key.empty() &&
        !base::is_hex(settings.bundle_public_key, public_key_hex_digits))
    {
        add_fault(reader, "bundle_public_key", "must be 64 lower-case hexadecimal digits");
    }
    if (has(reader, "platform_url") && !has(reader, "bundle_public_key"))
    {
        add_fault(reader, "bundle_public_key",
                  "is missing; bundles from the platform are used only with a valid signature");
    }
}

void read_agents(toml_reader& reader, std::vector<agent_address>& agents)
{
    std::set<std::string> hosts;
    read_tables(reader, "agents",
                [&](toml_reader& table)
                {
                    agent_address agent;
                    read_name(table, "host", agent.host, presence::required);
                    read_peer_address(table, "address", agent.address);
                    if (!agent.host.empty() && !hosts.insert(agent.host).second)
                    {
                        add_fault(table, "host", fmt::format("\"{}\" is used twice", agent.host));
                    }
                    agents.push_back(std::move(agent));
                });
}

void read_upstreams(toml_reader& reader, std::vector<upstream_settings>& upstreams)
{
    std::set<std::string> names;
    read_tables(reader, "upstreams",
                [&](toml_reader& table)
                {
                    upstream_settings upstream;
                    read_name(table, "name", upstream.name, presence::required);
                    read_name(table, "route", upstream.route, presence::required);
                    read_base_url(table, "url", upstream.url, presence::required);
                    base::read(table, "checks_fencing", upstream.checks_fencing);
                    if (!upstream.name.empty() && !names.insert(upstream.name).second)
                    {
                        add_fault(table, "name",
                                  fmt::format("\"{}\" is used twice", upstream.name));
                    }
                    upstreams.push_back(std::move(upstream));
                });
}

} // namespace

base::result<process_settings> parse(std::string_view text, std::string_view file)
{
    base::toml_faults faults{std::string(file), {}};
    auto const table = base::parse_toml(text, faults);
    process_settings settings;
    if (table)
    {
        toml_reader reader{&*table, "", &faults, {}};
        read_name(reader, "host", settings.host, presence::required);
        read_name(reader, "domain", settings.domain, presence::required);
        read_listen_address(reader, "listen_http", settings.listen_http);
        read_listen_address(reader, "listen_wire", settings.listen_wire);
        read_listen_address(reader, "listen_admin", settings.listen_admin);
        read_base_url(reader, "platform_url", settings.platform_url, presence::optional);
        read_public_key(reader, settings);
        base::read(reader, "bundle_file", settings.bundle_file);
        base::read(reader, "data_folder", settings.data_folder);
        read_log_level(reader, settings.log_level);
        base::read_seconds(reader, "claim_horizon_s", {}, max_claim_horizon,
                           settings.claim_horizon);
        read_memory_limits(reader, settings.memory);
        read_agents(reader, settings.agents);
        read_upstreams(reader, settings.upstreams);
        check_unknown_keys(reader);
    }
    if (!faults.found.empty())
    {
        return tl::unexpected(to_error(std::move(faults), base::result_code::settings_invalid));
    }
    return settings;
}

base::result<process_settings> load(std::string const& file)
{
    auto const text = base::read_file(file);
    if (!text)
    {
        return base::fail(base::result_code::io_error, text.error().message);
    }
    return parse(*text, file);
}

} // namespace gooseberrywood::settings
