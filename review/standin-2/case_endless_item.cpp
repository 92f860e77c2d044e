// Three of six model workers answer each 34th item with bytes that have no end.
// Usage: case_endless_item FOLDER, in the root of the repository. With TROUBLE=0 all workers answer
// soundly.
#include "platform.hpp"

using namespace review;

namespace
{

// As on the sheet of Zagorje: engines of 8 slots, lookups of 80 ms with an aim of 400 ms and a time
// limit of 2,000 ms (row `thread-stock`) at three workers of 6 slots.
constexpr int engines = 6;
constexpr int engine_slots = 8;
constexpr int app_workers = 3;
constexpr int app_slots = 6;
constexpr int lookup_ms = 80;
constexpr int aim_ms = 400;
constexpr int time_limit_ms = 2000;
constexpr int gateways = 2;
constexpr int callers_of_each = 12;
constexpr int pause_ms = 20;
constexpr int event_ms = 40;
constexpr int events = 16;
constexpr int items = 48;
constexpr int engines_in_trouble = 3;
// One answer of this many of the workers in trouble has no end.
constexpr int answers_for_an_endless_one = 34;
constexpr int trouble_for_ms = 5500;
constexpr int restart_ms = 600;
constexpr std::size_t endless_block_bytes = 1024 * 1024;

struct shared_state
{
    std::atomic<bool> trouble{false};
    std::atomic<bool> stop{false};
    std::mutex mutex;
    /// Attempts that a sound worker has begun and not answered yet.
    std::set<std::string> at_sound_worker;
    std::map<std::string, int> outcomes;
    /// Answers of the workers in trouble, while there is trouble.
    int answers = 0;
    int endless = 0;
    int lost = 0;
    int ended = 0;
};

std::string engine_id(int number)
{
    return "i-engine-" + std::to_string(number);
}

bool serve_item(int number, int fd, message const& request, shared_state& state, record& out)
{
    if (request.path() == "/-/report")
    {
        return send_all(fd, http_response(200, R"({"stage":"dual","busy":false,"seq":0})"));
    }
    auto const id = request.header("Attempt-Id");
    if (request.header("Expect-Instance") != engine_id(number))
    {
        return send_all(fd, http_response(421, "", {{"Attempt-Id", id}, {"Not-Executed", "1"}}));
    }
    bool is_endless = false;
    if (number < engines_in_trouble && state.trouble)
    {
        std::lock_guard const lock(state.mutex);
        ++state.answers;
        is_endless = state.answers % answers_for_an_endless_one == 0;
    }
    std::string const head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: " +
                             engine_id(number) + "." + id +
                             "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n" +
                             (is_endless ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n");
    if (!send_all(fd, head))
    {
        return false;
    }
    if (is_endless)
    {
        {
            std::lock_guard const lock(state.mutex);
            ++state.endless;
        }
        out.line("worker " + engine_id(number) + " answers item " + id + " without end");
        int const buffer_bytes = 4 * 1024 * 1024;
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof buffer_bytes);
        std::string const block(endless_block_bytes, 'x');
        // As fast as the gateway reads.
        while (!state.stop && send_all(fd, block))
        {
        }
        return false;
    }
    int const after = std::atoi(request.header("Last-Event-Id").c_str());
    for (int event = after + 1; event <= events; ++event)
    {
        sleep_ms(event_ms);
        auto const text =
            "id: " + std::to_string(event) + "\ndata: " + id + "-" + std::to_string(event) + "\n\n";
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        if (!send_all(fd, size + text + "\r\n"))
        {
            return false;
        }
    }
    return send_all(fd, "0\r\n\r\n");
}

bool serve_lookup(int number, int fd, message const& request, shared_state& state)
{
    auto const id = request.header("Attempt-Id");
    if (request.header("Expect-Instance") != "i-app-" + std::to_string(number))
    {
        return send_all(fd, http_response(421, "", {{"Attempt-Id", id}, {"Not-Executed", "1"}}));
    }
    {
        std::lock_guard const lock(state.mutex);
        state.at_sound_worker.insert(id);
    }
    sleep_ms(lookup_ms);
    return send_all(fd, http_response(200, std::string(800, 'y'),
                                      {{"Attempt-Id", id}, {"Server-Stamp", "s." + id}}));
}

/// A consumer that sends lookups on a kept connection, one after the other.
void call_lookups(int number, std::uint16_t port, shared_state& state, record& out)
{
    caller connection(port);
    for (int i = 0; !state.stop; ++i)
    {
        bool const is_kept = connection.fd >= 0;
        auto const id = "a" + std::to_string(number) + "-" + std::to_string(i);
        auto const answer = connection.call("POST", "/lohu930/" + id,
                                            {{"Host", "ficu95.example"},
                                             {"Authorization", key_header},
                                             {"Attempt-Id", id},
                                             {"Deadline-Ms", std::to_string(time_limit_ms)}},
                                            "lookup", time_limit_ms + 700);
        {
            std::lock_guard const lock(state.mutex);
            auto const what = answer && !answer->cut ? std::to_string(answer->status()) : "none";
            ++state.outcomes[what];
            bool const at_sound = state.at_sound_worker.erase(id) > 0;
            if (what == "none" && is_kept && at_sound)
            {
                ++state.lost;
                out.line("request " + id +
                         " was at a sound worker; its kept connection ended without an answer");
            }
        }
        sleep_ms(answer ? pause_ms : 200);
    }
}

std::string job_body(int step)
{
    auto list = json::array();
    for (int i = 0; i < items; ++i)
    {
        auto const id = "e5b2" + std::to_string(100000 + step * 1000 + i);
        list.push_back({{"id", id},
                        {"path", "/pule252/3/" + std::to_string(i)},
                        {"headers", {{"Model", "daka510000"}, {"Token-Counts", "16,2000"}}},
                        {"body", to_base64("prompt")},
                        {"tokens", 2016},
                        {"group", "g" + std::to_string(i / 4)}});
    }
    return json{{"step", step},       {"model", "daka510000"}, {"min_version", 1},
                {"desired_count", 7}, {"items", list}}
        .dump();
}

/// A trainer that submits a batch job at either gateway, until one accepts it.
void submit(int step, std::vector<gateway> const& entries, record& out)
{
    for (int attempt = 0; attempt < 8; ++attempt)
    {
        caller trainer(entries[static_cast<std::size_t>(attempt % gateways)].front);
        auto const answer = trainer.call("POST", "/pule252/7c41e0",
                                         {{"Host", "ficu95.example"},
                                          {"Authorization", key_header},
                                          {"Attempt-Id", "7c41e09b" + std::to_string(step)}},
                                         job_body(step), 3000);
        out.line("batch job of step " + std::to_string(step) + ", answered " +
                 std::to_string(answer ? answer->status() : 0));
        if (answer && answer->status() == 202)
        {
            return;
        }
        sleep_ms(300);
    }
}

/// Starts gateways again that have ended.
void watch_gateways(std::vector<gateway>& entries, shared_state& state, record& out)
{
    for (auto& entry : entries)
    {
        int status = 0;
        if (entry.process.pid > 0 && waitpid(entry.process.pid, &status, WNOHANG) > 0)
        {
            entry.process.pid = -1;
            ++state.ended;
            out.line("a gateway has ended by itself: " +
                     (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                          : "status " + std::to_string(WEXITSTATUS(status))));
            sleep_ms(restart_ms);
            entry.launch();
        }
    }
}

int run(std::string const& case_folder)
{
    auto const* const trouble_text = std::getenv("TROUBLE");
    bool const trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
    record out(case_folder + "/record.txt");
    temporary_folder folder;
    // Not destroyed, since the threads of the servers use them until the process ends.
    auto& store = *new platform;
    auto& state = *new shared_state;
    auto& servers = *new std::vector<server>(engines + app_workers);
    if (!store.start())
    {
        return not_run;
    }
    for (int i = 0; i < engines; ++i)
    {
        auto& one = servers[static_cast<std::size_t>(i)];
        one.handle = [i, &state, &out](int fd, message const& request)
        {
            return serve_item(i, fd, request, state, out);
        };
        if (!one.start())
        {
            return not_run;
        }
        auto entry = worker_entry("planner-lm", one.port, engine_slots);
        entry["models"] = json::array({{{"name", "daka510000"}, {"version", 1}}});
        store.put("servers/" + engine_id(i), entry.dump());
    }
    for (int i = 0; i < app_workers; ++i)
    {
        auto& one = servers[static_cast<std::size_t>(engines + i)];
        one.handle = [i, &state](int fd, message const& request)
        {
            return serve_lookup(i, fd, request, state);
        };
        if (!one.start())
        {
            return not_run;
        }
        store.put("servers/i-app-" + std::to_string(i),
                  worker_entry("bindery-app", one.port, app_slots).dump());
    }
    json const lm = {{"name", "planner-lm"},
                     {"max_conns", 140},
                     {"engine", {{"models", {{{"name", "daka510000"}}}}, {"stride", 1}}}};
    store.put("op/config",
              json{{"version", 3},
                   {"routes", {rollout_route("ficu95.example", "/pule252/", "planner-lm"),
                               route("ficu95.example", "/lohu930/", "idempotent", "bindery-app",
                                     false, time_limit_ms, aim_ms)}},
                   {"services", {lm, {{"name", "bindery-app"}, {"max_conns", 100}}}},
                   {"limits", limits()},
                   {"tenants", tenants()}}
                  .dump());
    auto& entries = *new std::vector<gateway>(gateways);
    for (int i = 0; i < gateways; ++i)
    {
        auto& entry = entries[static_cast<std::size_t>(i)];
        if (!entry.start(folder.path, "edge-krapina-" + std::to_string(i + 1), store.http.port) ||
            !wait_until([&] { return entry.is_ready(); }, 10'000))
        {
            out.line("a gateway is not ready");
            return not_run;
        }
    }
    sleep_ms(1500);
    std::vector<std::thread> threads;
    for (int i = 0; i < gateways * callers_of_each; ++i)
    {
        auto const port = entries[static_cast<std::size_t>(i % gateways)].front;
        threads.emplace_back([&, i, port] { call_lookups(i, port, state, out); });
    }
    sleep_ms(1000);
    state.trouble = trouble;
    out.line(trouble ? "workers i-engine-0 to 2 spoil one answer of 34 from now on" : "no trouble");
    threads.emplace_back(
        [&]
        {
            submit(0, entries, out);
            submit(1, entries, out);
            sleep_ms(2300);
            submit(2, entries, out);
            submit(3, entries, out);
        });
    auto const end = clock_type::now() + milliseconds(trouble_for_ms);
    while (clock_type::now() < end)
    {
        watch_gateways(entries, state, out);
        sleep_ms(2);
    }
    state.trouble = false;
    sleep_ms(500);
    watch_gateways(entries, state, out);
    state.stop = true;
    for (auto& one : threads)
    {
        one.join();
    }
    for (auto& entry : entries)
    {
        entry.process.end(SIGKILL);
    }
    std::lock_guard const lock(state.mutex);
    for (auto const& [what, count] : state.outcomes)
    {
        out.line("lookups answered " + what + ": " + std::to_string(count));
    }
    out.line("answers without end: " + std::to_string(state.endless) + " of " +
             std::to_string(state.answers) + " of the workers in trouble" + ", gateways ended " +
             std::to_string(state.ended) + " times, " + std::to_string(state.lost) +
             " requests lost at sound workers");
    // LOST: more than three times.
    return state.ended > 0 && state.lost > 3 ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    int const verdict = argc > 1 ? run(argv[1]) : not_run;
    std::fflush(nullptr);
    _exit(verdict);
}
