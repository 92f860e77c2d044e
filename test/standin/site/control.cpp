#include "base/json_fields.hpp"
#include "standin/site/site.hpp"

namespace gooseberrywood::test
{

namespace
{

using nlohmann::json;

json to_json(std::vector<base::mono_time> const& times)
{
    auto list = json::array();
    for (auto const at : times)
    {
        list.push_back(at.time_since_epoch().count());
    }
    return list;
}

void show_state(site& self, SoupServerMessage* message)
{
    auto upstreams = json::array();
    for (auto const& one : self.upstreams)
    {
        auto const arrivals = to_json(one->arrivals);
        upstreams.push_back({{"id", one->id},
                             {"running", one->running},
                             {"refused", one->refused},
                             {"arrivals_us", arrivals},
                             {"crashes_us", to_json(one->crashes)},
                             {"connections", one->caller_ports.size()},
                             {"orders", one->orders},
                             {"weights", one->weights}});
    }
    auto keys = json::array();
    for (auto const& [key, item] : self.values)
    {
        keys.push_back(key);
    }
    answer(message, SOUP_STATUS_OK,
           {{"upstreams", upstreams},
            {"runs", self.runs},
            {"teams", self.teams},
            {"digests", self.digests},
            {"headers", self.headers},
            {"resumed", self.resumed},
            {"reports", self.reports},
            {"calls", self.calls},
            {"keys", keys},
            {"side_door_port", self.side_door_port}});
}

void put(site& self, json const& body)
{
    // Bytes of any kind are given as base64.
    auto const value = body.contains("base64")
                           ? base::from_base64(body.at("base64").get<std::string>()).value()
                           : body.at("value").dump();
    self.values[body.at("key").get<std::string>()] = {value, ++self.revision, 0};
}

void set_store(site& self, json const& body)
{
    auto const name = body.at("mode").get<std::string>();
    auto const mode = name == "refuses"         ? store_mode::refuses
                      : name == "loses_answers" ? store_mode::loses_answers
                      : name == "loses_commits" ? store_mode::loses_commits
                      : name == "answers_late"  ? store_mode::answers_late
                                                : store_mode::serves;
    self.side_door_mode = mode;
    if (!body.value("side_door_only", false))
    {
        self.mode = mode;
    }
}

/// Closes the connections of the requests that an upstream took while it was silent.
void drop_held(site_upstream& at)
{
    for (auto const& message : std::exchange(at.held, {}))
    {
        close_connection(message.get());
    }
}

void set_upstream(site& self, json const& body)
{
    for (auto const& one : self.upstreams)
    {
        if (one->id != body.at("id").get<std::string>())
        {
            continue;
        }
        one->refuses = body.value("refuses", one->refuses);
        one->fails = body.value("fails", one->fails);
        one->silent = body.value("silent", one->silent);
        if (body.value("drops_held", false))
        {
            drop_held(*one);
        }
        one->breaks_off = body.value("breaks_off", one->breaks_off);
        one->software_version = body.value("software_version", one->software_version);
        if (body.value("drops_runs", false))
        {
            one->dropped_until = one->runs_begun;
        }
        one->marks_events = body.value("marks_events", one->marks_events);
        one->rate_limit = body.value("rate_limit", one->rate_limit);
        one->renames = body.value("renames", one->renames);
        one->answer_time =
            std::chrono::milliseconds(body.value("answer_ms", one->answer_time.count() / 1000));
        one->states_leaving = body.value("states_leaving", one->states_leaving);
        one->state = body.value("state", one->state);
        one->born = body.value("born", one->born);
        if (body.value("forget_arrivals", false))
        {
            one->arrivals.clear();
        }
        one->event_time =
            std::chrono::milliseconds(body.value("event_ms", one->event_time.count() / 1000));
        if (body.value("listed", true))
        {
            announce(self, *one);
        }
        else
        {
            self.values.erase("servers/" + one->id);
        }
    }
}

} // namespace

void control(site& self, SoupServerMessage* message)
{
    auto const path = path_of(message);
    if (path == "/standin/state")
    {
        show_state(self, message);
        return;
    }
    auto const body = json::parse(body_of(message));
    if (path == "/standin/put")
    {
        put(self, body);
    }
    else if (path == "/standin/store")
    {
        set_store(self, body);
    }
    else if (path == "/standin/raw")
    {
        set_raw_answers(self.raw, body);
    }
    else if (path == "/standin/upstream")
    {
        set_upstream(self, body);
    }
    answer(message, SOUP_STATUS_OK, json::object());
}

} // namespace gooseberrywood::test
