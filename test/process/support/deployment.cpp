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

std::string settings_of(deployment const& in, agent_host const& a)
{
    auto text = fmt::format("host = \"{}\"\ndomain = \"{}\"\nlisten_wire = \"127.0.0.1:{}\"\n"
                            "listen_admin = \"127.0.0.1:{}\"\nbundle_file = \"{}\"\n",
                            a.host, a.domain, a.wire_port, a.admin_port, bundle_path(in));
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
                            "listen_admin = \"127.0.0.1:{}\"\nbundle_file = \"{}\"\n",
                            e.host, e.domain, e.http_port, e.admin_port, bundle_path(in));
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
    return state.at("agents").at(host).at("up").get<bool>();
}

} // namespace

std::string upstream_standin::url() const
{
    return fmt::format("http://127.0.0.1:{}", port);
}

std::string entry_host::url() const
{
    return fmt::format("http://127.0.0.1:{}", http_port);
}

deployment::deployment(std::string_view bundle_text)
{
    std::ofstream(folder.path / "bundle.toml") << bundle_text;
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
    return *to.agents.back();
}

entry_host& add_entry(deployment& to, std::string host, std::string domain)
{
    auto made = std::make_unique<entry_host>();
    made->host = std::move(host);
    made->domain = std::move(domain);
    made->program = std::make_unique<process>(
        "gooseberrywood",
        std::vector<std::string>{"entry", "--settings", std::string(settings_placeholder)},
        settings_of(to, *made));
    auto const line = wait_event(*made->program, "listening");
    made->http_port = line.at("http_port").get<std::uint16_t>();
    made->admin_port = line.at("admin_port").get<std::uint16_t>();
    for (auto const& a : to.agents)
    {
        if (!eventually([&] { return is_connected(*made, a->host); }))
        {
            throw std::runtime_error("entry did not connect to agent " + a->host);
        }
    }
    to.entries.push_back(std::move(made));
    return *to.entries.back();
}

void restart(deployment& in, agent_host& which)
{
    which.program.reset();
    start(in, which);
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
