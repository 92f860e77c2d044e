#include "process/support/deployment.hpp"

#include <fmt/format.h>

#include <fstream>

namespace gooseberrywood::test
{

namespace
{

std::string bundle_path(deployment const& of)
{
    return (of.folder.path / "bundle.toml").string();
}

/// The setting that tells a process where its configuration comes from.
std::string source_settings(deployment const& in)
{
    return in.platform ? fmt::format("platform_url = \"{}\"\nbundle_public_key = \"{}\"\n",
                                     in.platform->url(), in.platform->keys.public_key)
                       : fmt::format("bundle_file = \"{}\"\n", bundle_path(in));
}

std::string settings_of(deployment const& in, agent_host const& a)
{
    auto text = fmt::format("host = \"{}\"\ndomain = \"{}\"\nlisten_wire = \"127.0.0.1:{}\"\n"
                            "listen_admin = \"127.0.0.1:{}\"\n{}",
                            a.host, a.domain, a.wire_port, a.admin_port, source_settings(in));
    text += in.agent_settings;
    for (auto const& u : a.upstreams)
    {
        text += fmt::format("[[upstreams]]\nname = \"{}\"\nroute = \"{}\"\nurl = \"{}\"\n", u->name,
                            u->route, u->url());
    }
    return text;
}

std::string settings_of(deployment const& in, entry_host const& e)
{
    auto text = fmt::format("host = \"{}\"\ndomain = \"{}\"\nlisten_http = \"127.0.0.1:{}\"\n"
                            "listen_admin = \"127.0.0.1:{}\"\n{}",
                            e.host, e.domain, e.http_port, e.admin_port, source_settings(in));
    if (in.platform)
    {
        // The agents are found by the host list.
        return text;
    }
    for (auto const& a : in.agents)
    {
        text += fmt::format("[[agents]]\nhost = \"{}\"\naddress = \"127.0.0.1:{}\"\n", a->host,
                            a->wire_port);
    }
    return text;
}

void start(deployment& in, agent_host& a)
{
    a.program = std::make_unique<process>(
        "gooseberrywood",
        std::vector<std::string>{"agent", "--settings", std::string(settings_placeholder)},
        settings_of(in, a));
    auto const line = wait_event(*a.program, "listening");
    a.wire_port = line.at("wire_port").get<std::uint16_t>();
    a.admin_port = line.at("admin_port").get<std::uint16_t>();
}

bool is_connected(entry_host const& e, std::string const& host)
{
    auto const state = state_of(e.admin_port);
    auto const& agents = state.at("agents");
    return agents.contains(host) && agents.at(host).at("up").get<bool>();
}

void start(deployment& in, entry_host& e)
{
    e.program = std::make_unique<process>(
        "gooseberrywood",
        std::vector<std::string>{"entry", "--settings", std::string(settings_placeholder)},
        settings_of(in, e));
    auto const line = wait_event(*e.program, "listening");
    e.http_port = line.at("http_port").get<std::uint16_t>();
    e.admin_port = line.at("admin_port").get<std::uint16_t>();
    for (auto const& a : in.agents)
    {
        if (!eventually([&] { return is_connected(e, a->host); }))
        {
            throw std::runtime_error("entry did not connect to agent " + a->host);
        }
    }
}

platform_host start_platform()
{
    platform_host made;
    made.program = std::make_unique<process>("standin_platform",
                                             std::vector<std::string>{"--listen=127.0.0.1:0"});
    made.port = wait_listening(*made.program);
    made.keys = bundle::make_key_pair();
    return made;
}

} // namespace

std::string platform_host::url() const
{
    return fmt::format("http://127.0.0.1:{}", port);
}

std::string upstream_standin::url() const
{
    return fmt::format("http://127.0.0.1:{}", port);
}

std::string entry_host::url() const
{
    return fmt::format("http://127.0.0.1:{}", http_port);
}

deployment::deployment(std::string_view bundle_text, configuration_source source)
{
    if (source == configuration_source::bundle_file)
    {
        std::ofstream(folder.path / "bundle.toml") << bundle_text;
        return;
    }
    platform = start_platform();
    auto const outcome = apply_bundle(*this, bundle_text);
    if (outcome.exit_code != 0)
    {
        throw std::runtime_error("the first bundle was not applied:\n" + outcome.output);
    }
}

std::unique_ptr<upstream_standin> make_upstream(std::string name, std::string route,
                                                std::vector<std::string> flags)
{
    auto made = std::make_unique<upstream_standin>();
    made->name = std::move(name);
    made->route = std::move(route);
    made->flags = std::move(flags);
    restart(*made);
    return made;
}

void restart(upstream_standin& which)
{
    which.program.reset();
    auto flags = which.flags;
    flags.push_back(fmt::format("--listen=127.0.0.1:{}", which.port));
    which.program = std::make_unique<process>("standin_upstream", flags);
    which.port = wait_listening(*which.program);
}

agent_host& add_agent(deployment& to, std::string host, std::string domain,
                      std::vector<std::unique_ptr<upstream_standin>> upstreams)
{
    auto made = std::make_unique<agent_host>();
    made->host = std::move(host);
    made->domain = std::move(domain);
    made->upstreams = std::move(upstreams);
    start(to, *made);
    to.agents.push_back(std::move(made));
    list_hosts(to);
    return *to.agents.back();
}

entry_host& add_entry(deployment& to, std::string host, std::string domain)
{
    auto made = std::make_unique<entry_host>();
    made->host = std::move(host);
    made->domain = std::move(domain);
    start(to, *made);
    to.entries.push_back(std::move(made));
    list_hosts(to);
    return *to.entries.back();
}

void restart(deployment& in, agent_host& which)
{
    which.program.reset();
    start(in, which);
}

void restart(deployment& in, entry_host& which)
{
    which.program.reset();
    start(in, which);
}

void list_hosts(deployment const& in)
{
    if (!in.platform)
    {
        return;
    }
    auto hosts = nlohmann::json::array();
    for (auto const& a : in.agents)
    {
        hosts.push_back({{"host", a->host},
                         {"domain", a->domain},
                         {"address", "127.0.0.1"},
                         {"wire_address", fmt::format("127.0.0.1:{}", a->wire_port)},
                         {"leaving", a->leaving}});
    }
    for (auto const& e : in.entries)
    {
        hosts.push_back({{"host", e->host},
                         {"domain", e->domain},
                         {"address", "127.0.0.1"},
                         {"wire_address", ""},
                         {"leaving", false}});
    }
    post_json(in.platform->url() + "/standin/hosts", hosts);
}

void set_faults(deployment const& in, std::vector<platform_fault> const& faults)
{
    auto rules = nlohmann::json::array();
    for (auto const& fault : faults)
    {
        rules.push_back({{"kind", fault.kind},
                         {"mode", fault.mode},
                         {"count", fault.count},
                         {"delay_us", fault.delay.count()}});
    }
    post_json(in.platform->url() + "/standin/faults", rules);
}

void wait_output(process& of, std::string_view text)
{
    std::unique_lock lock(of.mutex);
    auto const is_there = [&]
    {
        return of.output.find(text) != std::string::npos;
    };
    of.changed.wait_for(lock, patience, [&] { return is_there() || of.exit_status.has_value(); });
    if (!is_there())
    {
        throw std::runtime_error(fmt::format("no \"{}\" in the output:\n{}", text, of.output));
    }
}

std::unique_ptr<process> start_command(deployment const& in, std::vector<std::string> arguments)
{
    arguments.emplace_back("--settings");
    arguments.emplace_back(settings_placeholder);
    return std::make_unique<process>(
        "gooseberrywood", std::move(arguments),
        fmt::format("host = \"operator\"\ndomain = \"operator\"\n{}", source_settings(in)));
}

std::string write_bundle(deployment const& in, std::string const& name, std::string_view text)
{
    auto path = (in.folder.path / name).string();
    std::ofstream(path) << text;
    std::ofstream(path + ".sig") << bundle::sign(text, in.platform->keys.secret_key).value()
                                 << '\n';
    return path;
}

command_outcome wait_outcome(process& command)
{
    // The limits of the round: 60 s up to the write, 10 s after it.
    constexpr std::chrono::seconds longest_command{75};
    command_outcome out;
    out.exit_code = wait_exit(command, longest_command);
    std::lock_guard const lock(command.mutex);
    out.output = command.output;
    return out;
}

command_outcome run_command(deployment const& in, std::vector<std::string> arguments)
{
    return wait_outcome(*start_command(in, std::move(arguments)));
}

command_outcome apply_bundle(deployment const& in, std::string_view bundle_text)
{
    return run_command(in, {"bundle", "apply", write_bundle(in, "applied.toml", bundle_text)});
}

nlohmann::json state_of(std::uint16_t admin_port)
{
    return get_json(fmt::format("http://127.0.0.1:{}/state", admin_port));
}

http_request completion(entry_host const& at, std::string_view key, std::string_view prompt,
                        int max_tokens, bool stream)
{
    nlohmann::json const body = {{"model", "planner-lm"},
                                 {"prompt", prompt},
                                 {"max_tokens", max_tokens},
                                 {"stream", stream}};
    return {
        at.url() + "/v1/completions",
        "POST",
        body.dump(),
        {{"Content-Type", "application/json"}, {"Authorization", fmt::format("Bearer {}", key)}}};
}

nlohmann::json executions(upstream_standin const& of)
{
    return get_json(of.url() + "/standin/executions");
}

std::string text_of(http_response const& answer)
{
    return nlohmann::json::parse(answer.body).at("choices").at(0).at("text").get<std::string>();
}

} // namespace gooseberrywood::test
