// A reward call is sent to a worker long after its batch job was ended.
#include "fleet.hpp"

using namespace review;

namespace
{

constexpr double cancel_s = 3.0;
constexpr int reward_timeout_ms = 6000;

/// A reward call that a worker began to run.
struct run
{
    std::string id;
    double at = 0;
};

std::mutex runs_mutex;
std::vector<run> runs;
std::atomic<bool> first_is_dark = false;
std::atomic<bool> second_is_full = false;

void note_run(worker const& w, std::string const& id)
{
    std::lock_guard const lock(runs_mutex);
    runs.push_back({id, now_s()});
    record("worker %s began to run the reward call %s", w.id.c_str(), id.c_str());
}

bool serve_engine(worker const& w, connection& c, message const& m)
{
    if (auto const answered = answer_aside(w, c, m))
    {
        return *answered;
    }
    auto const id = m.header("Attempt-Id");
    record("worker %s ran the item %s", w.id.c_str(), id.c_str());
    std::string events;
    for (int n = 1; n <= 3; ++n)
    {
        events += "id: " + std::to_string(n) + "\ndata: " + id + "-" + std::to_string(n) + "\n\n";
    }
    std::this_thread::sleep_for(60ms);
    return c.send(response(200,
                           {{"Attempt-Id", id},
                            {"Server-Stamp", stamp(w.id, id)},
                            {"Weight-Versions", "1"},
                            {"Content-Type", "text/event-stream"}},
                           events));
}

/// Takes the call and, with the trouble, goes dark with it until it is started again.
bool serve_first(worker const& w, connection& c, message const& m)
{
    if (auto const answered = answer_aside(w, c, m))
    {
        return *answered;
    }
    auto const id = m.header("Attempt-Id");
    note_run(w, id);
    if (first_is_dark)
    {
        while (first_is_dark)
        {
            std::this_thread::sleep_for(10ms);
        }
        // The worker is back and knows nothing of the connection.
        linger const reset{1, 0};
        setsockopt(c.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        record("worker %s is back; the connection of %s is reset", w.id.c_str(), id.c_str());
        return false;
    }
    std::this_thread::sleep_for(80ms);
    return c.send(response(200, {{"Attempt-Id", id}, {"Server-Stamp", stamp(w.id, id)}}, "1"));
}

bool serve_second(worker const& w, connection& c, message const& m)
{
    if (auto const answered = answer_aside(w, c, m))
    {
        return *answered;
    }
    auto const id = m.header("Attempt-Id");
    if (second_is_full)
    {
        record("worker %s is full: %s answered 503, Not-Executed", w.id.c_str(), id.c_str());
        return c.send(response(503, {{"Attempt-Id", id}, {"Not-Executed", "1"}}, ""));
    }
    note_run(w, id);
    std::this_thread::sleep_for(80ms);
    return c.send(response(200, {{"Attempt-Id", id}, {"Server-Stamp", stamp(w.id, id)}}, "1"));
}

} // namespace

int main()
{
    record_file = std::fopen(std::getenv("REVIEW_RECORD"), "w");
    store s;
    s.start();
    worker engine;
    engine.id = "i-e04";
    engine.service = "planner";
    engine.models = {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}};
    engine.http.start([&](connection& c, message const& m) { return serve_engine(engine, c, m); });
    engine.announce(s);
    worker first;
    first.id = "i-b02";
    first.service = "bindery";
    first.slots = 6;
    first.http.start([&](connection& c, message const& m) { return serve_first(first, c, m); });
    first.announce(s);
    worker second;
    second.id = "i-b09";
    second.service = "bindery";
    second.slots = 6;
    second.http.start([&](connection& c, message const& m) { return serve_second(second, c, m); });
    second.announce(s);
    s.put("op/config",
          desired_state(
              7, {route("r-plans", "/plans/", "rollout", "planner", 10000, false),
                  route("r-floor", "/floor/", "idempotent", "bindery", reward_timeout_ms, true)}));
    gateway_process g;
    g.place.store_port = s.http.port;
    start(g);
    if (!wait_ready(g, 15))
    {
        record("the gateway is not ready");
        stop(g);
        return 2;
    }
    std::this_thread::sleep_for(4s); // All is calm for contact_ms.

    bool const trouble = has_trouble();
    first_is_dark = trouble;
    second_is_full = true;
    record("worker %s is %s; worker %s is full", first.id.c_str(), trouble ? "dark" : "sound",
           second.id.c_str());
    json items = json::array();
    for (int i = 0; i < 4; ++i)
    {
        char id[32];
        char reward[32];
        std::snprintf(id, sizeof id, "b00c00000000001%x", i);
        std::snprintf(reward, sizeof reward, "5c0e00000000001%x", i);
        items.push_back({{"id", id},
                         {"path", "/plans/3/1"},
                         {"headers", {{"Model", "m0"}, {"Token-Counts", "540,400"}}},
                         {"body", "cHJvbXB0"},
                         {"tokens", 940},
                         {"group", "g1"},
                         {"scorer",
                          {{"id", reward},
                           {"host", "desk.review.example"},
                           {"path", "/floor/score"},
                           {"body", "c2NvcmU="}}}});
    }
    json const job = {
        {"step", 0}, {"model", "m0"}, {"min_version", 1}, {"desired_count", 1}, {"items", items}};
    auto const accepted = call(g.front, "POST", "/plans/1",
                               consumer_headers("10b0000000000001", 12000), job.dump(), 5000);
    record("trainer sent the batch job; answer %d", accepted.status);
    std::this_thread::sleep_for(600ms);
    auto const ended = call(g.front, "DELETE", "/-/lots/10b0000000000001",
                            consumer_headers("4ead000000000001", 4000), "", 5000);
    auto const ended_at = now_s();
    record("trainer ended the batch job; answer %d", ended.status);
    if (accepted.status != 202 || ended.status != 200)
    {
        stop(g);
        return 2;
    }
    // The second worker has room again. The first one is dark for 4.5 s in all.
    std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<int>(cancel_s * 1000)));
    if (trouble)
    {
        s.remove("servers/" + first.id); // Three heartbeats of silence.
    }
    std::this_thread::sleep_for(400ms);
    second_is_full = false;
    record("worker %s has room again", second.id.c_str());
    std::this_thread::sleep_for(400ms);
    if (trouble)
    {
        first.born += 9000;
        first.announce(s);
    }
    first_is_dark = false;
    std::this_thread::sleep_for(3s);
    stop(g);

    std::lock_guard const lock(runs_mutex);
    int late = 0;
    for (auto const& one : runs)
    {
        if (one.at > ended_at + cancel_s)
        {
            ++late;
            record("UNASKED: the reward call %s began to run %.2f s after the confirmed end of its "
                   "batch job",
                   one.id.c_str(), one.at - ended_at);
        }
    }
    std::printf("%zu reward calls run, %d of them later than %.0f s after the end\n", runs.size(),
                late, cancel_s);
    record("%zu reward calls run, %d of them later than %.0f s after the end", runs.size(), late,
           cancel_s);
    std::fflush(stdout);
    std::_Exit(runs.empty() ? 2 : late > 0 ? 1 : 0);
}
