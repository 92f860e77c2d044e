#include "process/support/configured_service.hpp"

#include "base/hash.hpp"

#include <fmt/format.h>

#include <stdexcept>
#include <utility>

namespace gooseberrywood::test
{

namespace
{

constexpr std::string_view bundle_text = R"(
version = {}
deployment = "test"
domains = ["krapina", "zabok", "oroslavje"]
[[teams]]
name = "zlatar"
key_hashes = ["{}"]
[[teams]]
name = "kumrovec"
key_hashes = [{}]
[[routes]]
name = "planner-lm"
kind = "model"
fresh_limit = 8
max_limit = 8
warm_up_s = 0
timeout_s = 60
[[routes]]
name = "lookup"
kind = "service"
path_prefix = "/lookup"
open = true
open_team = "zlatar"
)";

std::vector<std::unique_ptr<upstream_standin>> host_upstreams(int number)
{
    std::vector<std::unique_ptr<upstream_standin>> out;
    out.push_back(
        make_upstream(fmt::format("planner-lm-{}", number), "planner-lm", {"--token_us=10000"}));
    out.push_back(make_upstream(fmt::format("lookup-{}", number), "lookup", {"--kind=service"}));
    return out;
}

} // namespace

std::string make_bundle(int version, std::string_view kumrovec_key)
{
    auto const key =
        kumrovec_key.empty() ? "" : fmt::format("\"{}\"", base::sha256_hex(kumrovec_key));
    return fmt::format(fmt::runtime(bundle_text), version, base::sha256_hex("zlatar-key"), key);
}

configured_service::configured_service() : processes(make_bundle(1), configuration_source::platform)
{
    int number = 0;
    for (std::string const domain : {"krapina", "zabok", "oroslavje"})
    {
        ++number;
        add_agent(processes, fmt::format("h{}", number), domain, host_upstreams(number));
    }
    add_entry(processes, "e1", "krapina");
    add_entry(processes, "e2", "zabok");
    auto const is_serving = [&]
    {
        for (auto const& e : processes.entries)
        {
            if (outcome_of(fetch(short_completion(*e, "kumrovec-key"))) != "ok")
            {
                return false;
            }
        }
        return versions(*this) == std::vector<std::uint64_t>(5, 1);
    };
    if (!eventually(is_serving))
    {
        throw std::runtime_error("the service does not come up");
    }
}

entry_host& configured_service::entry(std::size_t index)
{
    return *processes.entries.at(index);
}

agent_host& configured_service::agent(std::size_t index)
{
    return *processes.agents.at(index);
}

void wait_vouching(configured_service const& of)
{
    constexpr std::chrono::seconds start_phase{15};
    for (auto const& a : of.processes.agents)
    {
        if (!eventually([&] { return state_of(a->admin_port).at("vouches").get<bool>(); },
                        start_phase + patience))
        {
            throw std::runtime_error("agent does not vouch: " + a->host);
        }
    }
}

std::vector<std::uint64_t> versions(configured_service const& of)
{
    std::vector<std::uint64_t> out;
    for (auto const& a : of.processes.agents)
    {
        out.push_back(state_of(a->admin_port).at("config_version").get<std::uint64_t>());
    }
    for (auto const& e : of.processes.entries)
    {
        out.push_back(state_of(e->admin_port).at("config_version").get<std::uint64_t>());
    }
    return out;
}

std::uint64_t stored_version(configured_service const& of)
{
    return get_json(of.processes.platform->url() + "/v1/store/configuration")
        .at("version")
        .get<std::uint64_t>();
}

http_request open_request(entry_host const& at)
{
    return {at.url() + "/lookup/spine"};
}

http_request short_completion(entry_host const& at, std::string_view key)
{
    return completion(at, key, "saddle stitch", 2, false);
}

std::string outcome_of(base::result<http_response> const& answer)
{
    if (!answer)
    {
        return "connection_lost";
    }
    auto const json = nlohmann::json::parse(answer->body, nullptr, false);
    return json.is_object() && json.contains("error")
               ? json.at("error").at("name").get<std::string>()
               : "ok";
}

std::future<stream_end> read_stream(http_request request)
{
    auto const read = [request = std::move(request)]
    {
        stream_end out;
        auto stream = open_stream(request);
        while (stream)
        {
            auto const event = next_event(*stream);
            if (!event || !*event)
            {
                break;
            }
            auto const json = nlohmann::json::parse(**event, nullptr, false);
            out.done = out.done || **event == "[DONE]";
            if (json.is_object() && json.contains("error"))
            {
                out.error = json.at("error").at("name").get<std::string>();
            }
        }
        out.at = std::chrono::steady_clock::now();
        return out;
    };
    return std::async(std::launch::async, read);
}

int running(agent_host const& at)
{
    return get_json(at.upstreams[0]->url() + "/standin/stats").at("running").get<int>();
}

} // namespace gooseberrywood::test
