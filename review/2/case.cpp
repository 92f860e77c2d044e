// Headers of an item of a batch job replace those that the gateway sets: the team, and the key.
#include "fleet.hpp"

using namespace review;

namespace
{

std::string const own_key = "key-of-team-a-1";
std::string const own_team = "team-a";
std::string const other_team = "team-b";

/// What a worker ran.
struct run
{
    std::string id;
    std::string team;
    std::string authorization;
};

std::mutex runs_mutex;
std::vector<run> runs;

bool serve_engine(worker const& w, connection& c, message const& m)
{
    if (auto const answered = answer_aside(w, c, m))
    {
        return *answered;
    }
    run const one{m.header("Attempt-Id"), m.header("Tenant"), m.header("Authorization")};
    {
        std::lock_guard const lock(runs_mutex);
        runs.push_back(one);
    }
    record("worker %s ran the item %s; Tenant: %s; Authorization: %s", w.id.c_str(), one.id.c_str(),
           one.team.c_str(), one.authorization.c_str());
    std::string events;
    for (int n = 1; n <= 3; ++n)
    {
        events +=
            "id: " + std::to_string(n) + "\ndata: " + one.id + "-" + std::to_string(n) + "\n\n";
    }
    std::this_thread::sleep_for(60ms);
    return c.send(response(200,
                           {{"Attempt-Id", one.id},
                            {"Server-Stamp", stamp(w.id, one.id)},
                            {"Weight-Versions", "1"},
                            {"Content-Type", "text/event-stream"}},
                           events));
}

} // namespace

int main()
{
    record_file = std::fopen(std::getenv("REVIEW_RECORD"), "w");
    store s;
    s.start();
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 2; ++i)
    {
        auto w = std::make_unique<worker>();
        w->id = "i-e0" + std::to_string(i);
        w->service = "planner";
        w->models = {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}};
        w->http.start([at = w.get()](connection& c, message const& m)
                      { return serve_engine(*at, c, m); });
        w->announce(s);
        workers.push_back(std::move(w));
    }
    auto desired =
        desired_state(7, {route("r-plans", "/plans/", "rollout", "planner", 10000, false)});
    desired["tenants"].push_back(
        {{"name", other_team}, {"api_keys", {"key-of-team-b-1"}}, {"priority", 1}});
    s.put("op/config", desired);
    gateway_process g;
    g.place.store_port = s.http.port;
    start(g);
    if (!wait_ready(g, 15))
    {
        record("the gateway is not ready");
        stop(g);
        return 2;
    }
    bool const trouble = has_trouble();
    json items = json::array();
    for (int i = 0; i < 8; ++i)
    {
        char id[32];
        std::snprintf(id, sizeof id, "b00c00000000001%x", i);
        json headers = {{"Model", "m0"}, {"Token-Counts", "540,400"}};
        if (trouble && i < 4)
        {
            headers["Tenant"] = other_team;
        }
        else if (trouble)
        {
            headers["Authorization"] = "Bearer " + own_key;
        }
        items.push_back({{"id", id},
                         {"path", "/plans/3/1"},
                         {"headers", headers},
                         {"body", "cHJvbXB0"},
                         {"tokens", 940},
                         {"group", "g1"}});
    }
    json const job = {
        {"step", 0}, {"model", "m0"}, {"min_version", 1}, {"desired_count", 1}, {"items", items}};
    auto const accepted = call(g.front, "POST", "/plans/1",
                               consumer_headers("10b0000000000001", 12000), job.dump(), 5000);
    record("%s sent the batch job with its key; answer %d", own_team.c_str(), accepted.status);
    std::this_thread::sleep_for(3s);
    auto const page = call(g.front, "GET", "/-/lots/10b0000000000001?after=0",
                           consumer_headers("4ead000000000001", 2000), "", 3000);
    record("results: %d %s", page.status, page.body.c_str());
    stop(g);
    if (accepted.status / 100 == 4)
    {
        // A gateway that rejects such a job keeps the rule as well.
        std::printf("the batch job was rejected with %d\n", accepted.status);
        std::fflush(stdout);
        std::_Exit(trouble ? 0 : 2);
    }
    std::lock_guard const lock(runs_mutex);
    int foreign = 0;
    int leaked = 0;
    for (auto const& one : runs)
    {
        if (one.team != own_team)
        {
            ++foreign;
            record("UNASKED: the item %s of %s ran with the Tenant %s", one.id.c_str(),
                   own_team.c_str(), one.team.c_str());
        }
        if (one.authorization.find(own_key) != std::string::npos)
        {
            ++leaked;
            record("UNASKED: the key was passed on to the worker with the item %s", one.id.c_str());
        }
    }
    std::printf("%zu items run, %d as another tenant, %d with the key passed on\n", runs.size(),
                foreign, leaked);
    record("%zu items run, %d as another tenant, %d with the key passed on", runs.size(), foreign,
           leaked);
    std::fflush(stdout);
    std::_Exit(runs.empty() ? 2 : foreign + leaked > 0 ? 1 : 0);
}
