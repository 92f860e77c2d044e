// A model worker whose answers have no length is killed while it streams items of a batch job.
// Usage: case_killed_engine FOLDER, in the root of the repository. TROUBLE=0 kills nothing.
#include "platform.hpp"

#include <fstream>

using namespace review;

namespace
{

constexpr int engines = 6;
constexpr int slots = 8;
constexpr int event_ms = 40;
constexpr int groups = 8;
constexpr int items_per_group = 4;
constexpr int job_time_limit_ms = 30'000;

char const* const job_id = "7c41e09b52d6a3f8";

/// Number of events of an item's whole output: 10 to 33.
int events_of(int index)
{
    return 10 + index * 7 % 24;
}

std::string item_id(int index)
{
    char text[32];
    std::snprintf(text, sizeof text, "e5b2907c14da%04x", index);
    return text;
}

std::string whole_text(int index)
{
    std::string text;
    for (int number = 1; number <= events_of(index); ++number)
    {
        text += (number > 1 ? "\n" : "") + item_id(index) + "-" + std::to_string(number);
    }
    return text;
}

std::string job_body()
{
    auto items = json::array();
    for (int i = 0; i < groups * items_per_group; ++i)
    {
        auto const group = "g" + std::to_string(i / items_per_group);
        items.push_back(
            {{"id", item_id(i)},
             {"path", "/pule252/3/" + std::to_string(i)},
             {"headers",
              {{"Model", "daka510000"}, {"Token-Counts", "16,2000"}, {"Prompt-Prefix", "9c2e41:16"}}},
             {"body", to_base64(std::to_string(events_of(i)))},
             {"tokens", 2016},
             {"group", group},
             {"scorer",
              {{"id", "40c8f1a7b3e9" + std::to_string(1000 + i)},
               {"host", "ficu95.example"},
               {"path", "/pufi791/" + std::to_string(i)},
               {"body", to_base64("score")}}}});
    }
    return json{{"step", 0},          {"model", "daka510000"}, {"min_version", 1},
                {"desired_count", 7}, {"items", items}}
        .dump();
}

struct engine_process
{
    child process;
    std::string id;
    std::uint16_t port = 0;
};

bool start_engine(engine_process& one, int number, std::string const& folder,
                  std::string const& events_log)
{
    one.id = "i-engine-" + std::to_string(number);
    auto const output = folder + "/" + one.id + ".out";
    if (!one.process.start({"target/review-2/engine", one.id, "1", std::to_string(event_ms),
                            events_log},
                           {}, output))
    {
        return false;
    }
    return wait_until(
        [&]
        {
            std::ifstream in(output);
            unsigned port = 0;
            in >> port;
            one.port = static_cast<std::uint16_t>(port);
            return port != 0;
        },
        3000);
}

int run(std::string const& case_folder)
{
    auto const* const trouble_text = std::getenv("TROUBLE");
    bool const trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
    record out(case_folder + "/record.txt");
    temporary_folder folder;
    auto& store = *new platform;
    if (!store.start())
    {
        return not_run;
    }
    auto& app = *new server;
    app.handle = [&](int fd, message const& request)
    {
        auto const id = request.header("Attempt-Id");
        sleep_ms(20);
        return send_all(fd, http_response(200, "{}", {{"Attempt-Id", id},
                                                      {"Server-Stamp", "app." + id}}));
    };
    if (!app.start())
    {
        return not_run;
    }
    store.put("servers/i-app", worker_entry("bindery-app", app.port, 6).dump());
    auto const events_log = folder.path + "/engines.log";
    std::vector<engine_process> workers(engines);
    for (int i = 0; i < engines; ++i)
    {
        if (!start_engine(workers[static_cast<std::size_t>(i)], i, folder.path, events_log))
        {
            return not_run;
        }
        auto entry =
            worker_entry("planner-lm", workers[static_cast<std::size_t>(i)].port, slots);
        entry["models"] = json::array({{{"name", "daka510000"}, {"version", 1}}});
        store.put("servers/" + workers[static_cast<std::size_t>(i)].id, entry.dump());
    }
    json const service = {{"name", "planner-lm"},
                          {"max_conns", 140},
                          {"engine", {{"models", {{{"name", "daka510000"}}}}, {"stride", 1}}}};
    store.put("op/config",
              json{{"version", 3},
                   {"routes", {rollout_route("ficu95.example", "/pule252/", "planner-lm"),
                               route("ficu95.example", "/pufi791/", "idempotent", "bindery-app",
                                     true, 2000, 400)}},
                   {"services", {service, {{"name", "bindery-app"}, {"max_conns", 100}}}},
                   {"limits", limits()},
                   {"tenants", tenants()}}
                  .dump());
    gateway entry;
    if (!entry.start(folder.path, "edge-krapina-1", store.http.port) ||
        !wait_until([&] { return entry.is_ready(); }, 10'000))
    {
        out.line("the gateway is not ready");
        return not_run;
    }
    sleep_ms(1500);
    std::vector<std::pair<std::string, std::string>> const headers = {
        {"Host", "ficu95.example"}, {"Authorization", key_header}, {"Attempt-Id", job_id}};
    {
        caller trainer(entry.front);
        auto const answer = trainer.call("POST", "/pule252/7c41e0", headers, job_body(), 3000);
        out.line("batch job submitted, answered " +
                 std::to_string(answer ? answer->status() : 0));
        if (!answer || answer->status() != 202)
        {
            return not_run;
        }
    }
    if (trouble)
    {
        // The worker that runs most items is killed when they have some events.
        sleep_ms(350);
        workers[0].process.end(SIGKILL);
        out.line("worker " + workers[0].id + " is killed (SIGKILL)");
        std::thread(
            [&store, id = workers[0].id]
            {
                // The platform removes its entry after three heartbeats of silence.
                sleep_ms(3600);
                store.remove("servers/" + id);
            })
            .detach();
    }
    json results = json::array();
    auto const end = clock_type::now() + milliseconds(job_time_limit_ms);
    std::size_t const total = groups * items_per_group;
    while (results.size() < total && clock_type::now() < end)
    {
        sleep_ms(500);
        caller trainer(entry.front);
        auto const answer =
            trainer.call("GET", std::string("/-/lots/") + job_id + "?after=" +
                                    std::to_string(results.size()),
                         headers, "", 3000);
        if (!answer || answer->status() != 200)
        {
            continue;
        }
        auto const page = json::parse(answer->body);
        for (auto const& result : page.at("results"))
        {
            results.push_back(result);
        }
    }
    int truncated = 0;
    int whole = 0;
    int aborted = 0;
    for (auto const& result : results)
    {
        auto const id = result.at("id").get<std::string>();
        int const index = static_cast<int>(std::strtol(id.substr(12).c_str(), nullptr, 16));
        auto const text = result.at("text").get<std::string>();
        auto const events = std::count(text.begin(), text.end(), '\n') + (text.empty() ? 0 : 1);
        bool const done = result.at("state") == "done";
        bool const is_whole = done && text == whole_text(index);
        aborted += done ? 0 : 1;
        whole += is_whole ? 1 : 0;
        truncated += done && !is_whole ? 1 : 0;
        out.line("result " + id + " " + result.at("state").get<std::string>() + " with " +
                 std::to_string(events) + " of " + std::to_string(events_of(index)) + " events" +
                 (done && !is_whole ? "  NOT WHOLE" : ""));
    }
    std::ifstream log(events_log);
    for (std::string text; std::getline(log, text);)
    {
        out.line("worker " + text);
    }
    out.line(std::to_string(whole) + " results whole, " + std::to_string(truncated) +
             " done but not whole, " + std::to_string(aborted) + " aborted, of " +
             std::to_string(total) + " items");
    if (results.size() < total)
    {
        out.line("the batch job was not complete in time");
        return truncated > 0 ? broken : not_run;
    }
    return truncated > 0 || aborted > 0 ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    int const verdict = argc > 1 ? run(argv[1]) : not_run;
    std::fflush(nullptr);
    return verdict;
}
