#include "process/support/site_service.hpp"

#include "base/json_fields.hpp"

#include <fmt/format.h>

#include <stdexcept>
#include <utility>

namespace gooseberrywood::test
{

namespace
{

using nlohmann::json;

constexpr double weaker_processors = 0.2;

json route(char const* name, char const* host, char const* prefix, char const* kind,
           char const* service, bool is_public)
{
    return {{"name", name},           {"host", host},       {"prefix", prefix},
            {"route_type", kind},     {"timeout_ms", 3000}, {"target_latency_ms", 400},
            {"run_target_ms", 20000}, {"retention_s", 60},  {"priority", 1},
            {"service", service},     {"attempts", 2},      {"public", is_public}};
}

json configuration()
{
    return {{"version", 2},
            {"routes",
             {route("lookup", "desk.example", "/q/", "idempotent", "desk", false),
              route("reward", "desk.example", "/r/", "idempotent", "desk", true),
              route("chat", "chat.example", "/s/", "streaming", "engines", false),
              route("train", "train.example", "/t/", "rollout", "engines", false)}},
            {"services",
             {{{"name", "engines"},
               {"max_conns", 100},
               {"cold_per_s", 0.0},
               {"engine", {{"models", {{{"name", "m"}}}}}}},
              {{"name", "desk"}, {"max_conns", 100}, {"cold_per_s", 0.0}}}},
            {"tenants", {{{"name", "team-1"}, {"api_keys", {"key-1", "key-2"}}}}}};
}

std::string settings_of(site_service const& of, std::size_t number, double processors)
{
    auto const store_port = number == 0 ? of.side_door_port : of.site_port;
    return fmt::format(R"(host = "gateway-{}"
domain = "krapina"
first_start = true
listen_callers = "127.0.0.1:0"
listen_ready = "127.0.0.1:0"
listen_admin = "127.0.0.1:0"
listen_peers = "127.0.0.1:0"
store = "127.0.0.1:{}"
duties = "127.0.0.1:{}"
key_withdrawal_ms = 3000
leader_turn_ms = 1000
usage_window_s = 1
stop_grace_s = 8
processor_share = {}
{}
)",
                       number, store_port, of.site_port, processors, of.more_settings);
}

/// Writes a configuration with a version after the last one of this service.
void write_next_configuration(site_service const& of, json changed)
{
    changed["version"] = ++of.configuration_version;
    set_site(of, "put", {{"key", "op/config"}, {"value", changed}});
    for (auto const& gateway : of.gateways)
    {
        (void)wait_event(*gateway.program, "configuration_applied",
                         [&](json const& line)
                         { return line.at("version") == changed.at("version"); });
    }
}

} // namespace

site_service::site_service(int count, int desks, std::string settings)
    : site(std::make_unique<process>("standin_site",
                                     std::vector<std::string>{fmt::format("--desks={}", desks)})),
      more_settings(std::move(settings))
{
    site_port = wait_listening(*site);
    side_door_port = site_state(*this).at("side_door_port").get<std::uint16_t>();
    set_site(*this, "put", {{"key", "op/config"}, {"value", configuration()}});
    for (int i = 0; i < count; ++i)
    {
        add_gateway(*this, i == 0 ? 1 : weaker_processors);
    }
}

void add_gateway(site_service& to, double processors)
{
    gateway_under_test made;
    made.program = std::make_unique<process>(
        "gooseberrywood",
        std::vector<std::string>{"gateway", "--settings", std::string(settings_placeholder)},
        settings_of(to, to.gateways.size(), processors));
    auto const line = wait_event(*made.program, "listening");
    made.http_port = line.at("http_port").get<std::uint16_t>();
    made.admin_port = line.at("admin_port").get<std::uint16_t>();
    bool const is_ready = eventually(
        [&]
        {
            auto const answer = fetch({fmt::format("http://127.0.0.1:{}/readyz", made.admin_port)});
            return answer && answer->status == 200;
        });
    if (!is_ready)
    {
        throw std::runtime_error("the gateway is not ready");
    }
    to.gateways.push_back(std::move(made));
}

json site_state(site_service const& of)
{
    return get_json(fmt::format("http://127.0.0.1:{}/standin/state", of.site_port));
}

void set_site(site_service const& of, std::string const& what, json const& body)
{
    post_json(fmt::format("http://127.0.0.1:{}/standin/{}", of.site_port, what), body);
}

void change_route(site_service const& of, std::string const& name, json const& fields)
{
    auto changed = configuration();
    for (auto& one : changed["routes"])
    {
        if (one.at("name") == name)
        {
            one.update(fields);
        }
    }
    write_next_configuration(of, std::move(changed));
}

void change_limits(site_service const& of, json const& limits)
{
    auto changed = configuration();
    changed["limits"] = limits;
    write_next_configuration(of, std::move(changed));
}

http_response call_gateway(gateway_under_test const& at, std::string const& method,
                           std::string const& target, std::string const& host,
                           std::string const& id, std::string const& body, std::string const& key,
                           std::vector<std::pair<std::string, std::string>> const& headers)
{
    http_request request{fmt::format("http://127.0.0.1:{}{}", at.http_port, target), method, body};
    request.headers = {{"Host", host},
                       {"Attempt-Id", id},
                       {"Deadline-Ms", "3000"},
                       {"Authorization", "Bearer " + key}};
    request.headers.insert(request.headers.end(), headers.begin(), headers.end());
    auto answer = fetch(request);
    if (!answer)
    {
        throw std::runtime_error(answer.error().message);
    }
    return *answer;
}

std::string make_batch_job(std::string const& id, std::vector<int> const& events, int least_version)
{
    auto items = json::array();
    for (std::size_t i = 0; i < events.size(); ++i)
    {
        auto const sample = fmt::format("{}-s{}", id, i);
        items.push_back({{"id", sample},
                         {"path", "/t/run"},
                         {"headers", {{"Model", "m"}, {"Token-Counts", "10,400"}}},
                         {"body", base::to_base64(std::to_string(events[i]))},
                         {"tokens", 410},
                         {"group", fmt::format("g{}", i / 4)},
                         {"scorer",
                          {{"id", sample + "-score"},
                           {"host", "desk.example"},
                           {"path", "/r/score"},
                           {"body", base::to_base64("x")}}}});
    }
    return json{{"step", 1},
                {"model", "m"},
                {"min_version", least_version},
                {"desired_count", 2},
                {"items", items}}
        .dump();
}

unsigned submit(gateway_under_test const& at, std::string const& id, std::vector<int> const& events,
                int least_version)
{
    return call_gateway(at, "POST", "/t/submit", "train.example", id,
                        make_batch_job(id, events, least_version))
        .status;
}

json read_results(gateway_under_test const& at, std::string const& id)
{
    auto results = json::array();
    for (;;)
    {
        auto const answer =
            call_gateway(at, "GET", fmt::format("/-/lots/{}?after={}", id, results.size()),
                         "train.example", "read");
        auto const page = answer.status == 200 ? json::parse(answer.body) : json::object();
        if (!page.contains("results") || page["results"].empty())
        {
            return results;
        }
        for (auto const& one : page["results"])
        {
            results.push_back(one);
        }
    }
}

json wait_results(gateway_under_test const& at, std::string const& id, std::size_t count)
{
    json results;
    bool const all = eventually(
        [&]
        {
            results = read_results(at, id);
            return results.size() >= count;
        },
        std::chrono::seconds(30));
    if (!all)
    {
        throw std::runtime_error(fmt::format("only {} results", results.size()));
    }
    return results;
}

std::string whole_text(std::string const& sample_id, int events)
{
    std::string text;
    for (int i = 1; i <= events; ++i)
    {
        text += fmt::format("{}{}-{}", i > 1 ? "\n" : "", sample_id, i);
    }
    return text;
}

} // namespace gooseberrywood::test
