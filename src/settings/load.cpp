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

constexpr std::size_t public_key_digits = 64;

void read_listen_address(toml_reader& from, std::string_view key, std::string& into)
{
    base::read(from, key, into);
    if (!into.empty() && !base::ip_port_from(into))
    {
        add_fault(from, key, "must be a numeric address and a port, IP:port");
    }
}

void read_peer_address(toml_reader& from, std::string_view key, std::string& into)
{
    base::read(from, key, into, presence::required);
    auto const address = base::ip_port_from(into);
    if (!into.empty() && (!address || address->port == 0))
    {
        add_fault(from, key, "must be a numeric address and a port from 1, IP:port");
    }
}

void read_base_url(toml_reader& from, std::string_view key, std::string& into, presence needed)
{
    base::read(from, key, into, needed);
    if (!into.empty() && !base::ip_port_from_url(into))
    {
        add_fault(from, key, "must be http://IP:port with a numeric address and no path");
    }
}

void read_log_level(toml_reader& from, std::string& into)
{
    constexpr std::array<std::string_view, 4> levels = {"debug", "info", "warning", "error"};
    base::read(from, "log_level", into);
    if (std::find(levels.begin(), levels.end(), into) == levels.end())
    {
        add_fault(from, "log_level", "must be debug, info, warning or error");
    }
}

constexpr base::duration max_claim_horizon = std::chrono::hours(24);

void read_public_key(toml_reader& from, process_settings& into)
{
    base::read(from, "bundle_public_key", into.bundle_public_key);
    if (has(from, "bundle_public_key") && !into.bundle_public_key.empty() &&
        !base::is_hex(into.bundle_public_key, public_key_digits))
    {
        add_fault(from, "bundle_public_key", "must be 64 lower-case hexadecimal digits");
    }
    if (has(from, "platform_url") && !has(from, "bundle_public_key"))
    {
        add_fault(from, "bundle_public_key",
                  "is missing; bundles from the platform are used only with a valid signature");
    }
}

void read_agents(toml_reader& from, std::vector<agent_address>& into)
{
    std::set<std::string> hosts;
    read_tables(from, "agents",
                [&](toml_reader& one)
                {
                    agent_address agent;
                    read_name(one, "host", agent.host, presence::required);
                    read_peer_address(one, "address", agent.address);
                    if (!agent.host.empty() && !hosts.insert(agent.host).second)
                    {
                        add_fault(one, "host", fmt::format("\"{}\" is used twice", agent.host));
                    }
                    into.push_back(std::move(agent));
                });
}

void read_upstreams(toml_reader& from, std::vector<upstream_settings>& into)
{
    std::set<std::string> names;
    read_tables(from, "upstreams",
                [&](toml_reader& one)
                {
                    upstream_settings upstream;
                    read_name(one, "name", upstream.name, presence::required);
                    read_name(one, "route", upstream.route, presence::required);
                    read_base_url(one, "url", upstream.url, presence::required);
                    base::read(one, "checks_fencing", upstream.checks_fencing);
                    if (!upstream.name.empty() && !names.insert(upstream.name).second)
                    {
                        add_fault(one, "name", fmt::format("\"{}\" is used twice", upstream.name));
                    }
                    into.push_back(std::move(upstream));
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
        toml_reader from{&*table, "", &faults, {}};
        read_name(from, "host", settings.host, presence::required);
        read_name(from, "domain", settings.domain, presence::required);
        read_listen_address(from, "listen_http", settings.listen_http);
        read_listen_address(from, "listen_wire", settings.listen_wire);
        read_listen_address(from, "listen_admin", settings.listen_admin);
        read_base_url(from, "platform_url", settings.platform_url, presence::optional);
        read_public_key(from, settings);
        base::read(from, "bundle_file", settings.bundle_file);
        base::read(from, "data_folder", settings.data_folder);
        read_log_level(from, settings.log_level);
        base::read_seconds(from, "claim_horizon_s", {}, max_claim_horizon, settings.claim_horizon);
        read_agents(from, settings.agents);
        read_upstreams(from, settings.upstreams);
        check_unknown_keys(from);
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
