// Consumers ask for paths and queries with percent-encoded characters.
// Usage: case_changed_path FOLDER, in the root of the repository. With TROUBLE=0 the paths and
// queries hold none.
#include "platform.hpp"

using namespace review;

namespace
{

struct work
{
    std::string id;
    std::string target;
};

std::vector<work> make_requests(bool trouble)
{
    std::vector<std::string> const encoded = {
        "/lohu930/a%2Fb",   "/lohu930/a%3Fb",       "/lohu930/50%2525", "/lohu930/a%7Eb",
        "/lohu930/2f%2f30", "/lohu930/x?tag=%7Eab", "/lohu930/a%3Bb",   "/lohu930/%41bc"};
    std::vector<std::string> const plain = {
        "/lohu930/a/b",  "/lohu930/a?b",       "/lohu930/50", "/lohu930/a-b",
        "/lohu930/2f30", "/lohu930/x?tag=ab",  "/lohu930/ab", "/lohu930/Abc"};
    std::vector<work> requests;
    for (auto const& target : trouble ? encoded : plain)
    {
        requests.push_back({"9c41d07be2a3" + std::to_string(1000 + requests.size()), target});
    }
    return requests;
}

int run(std::string const& case_folder)
{
    auto const* const trouble_text = std::getenv("TROUBLE");
    bool const trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
    record out(case_folder + "/record.txt");
    temporary_folder folder;
    auto& store = *new platform;
    auto& app = *new server;
    auto& engine = *new server;
    std::mutex mutex;
    std::map<std::string, std::string> ran;
    if (!store.start())
    {
        return not_run;
    }
    // Answers tell what they are about, as the record of a lookup does.
    app.handle = [&](int fd, message const& request)
    {
        auto const id = request.header("Attempt-Id");
        {
            std::lock_guard const lock(mutex);
            ran[id] = request.word(0) + " " + request.word(1);
        }
        return send_all(fd, http_response(200, "record of " + request.word(1),
                                          {{"Attempt-Id", id}, {"Server-Stamp", "s." + id}}));
    };
    engine.handle = [&](int fd, message const& request)
    {
        auto const id = request.header("Attempt-Id");
        if (request.path() == "/-/report")
        {
            return send_all(fd, http_response(200, R"({"seq":0})"));
        }
        {
            std::lock_guard const lock(mutex);
            ran[id] = request.word(0) + " " + request.word(1);
        }
        return send_all(fd, http_response(200, "id: 1\ndata: x\n\n",
                                          {{"Attempt-Id", id},
                                           {"Server-Stamp", "s." + id},
                                           {"Weight-Versions", "1"},
                                           {"Content-Type", "text/event-stream"}}));
    };
    if (!app.start() || !engine.start())
    {
        return not_run;
    }
    store.put("servers/i-app", worker_entry("bindery-app", app.port, 6).dump());
    auto entry_of_engine = worker_entry("planner-lm", engine.port, 8);
    entry_of_engine["models"] = json::array({{{"name", "daka510000"}, {"version", 1}}});
    store.put("servers/i-engine", entry_of_engine.dump());
    json const lm = {{"name", "planner-lm"},
                     {"max_conns", 140},
                     {"engine", {{"models", {{{"name", "daka510000"}}}}, {"stride", 1}}}};
    store.put("op/config",
              json{{"version", 3},
                   {"routes", {rollout_route("ficu95.example", "/pule252/", "planner-lm"),
                               route("ficu95.example", "/lohu930/", "idempotent", "bindery-app",
                                     false, 2000, 150)}},
                   {"services", {lm, {{"name", "bindery-app"}, {"max_conns", 100}}}},
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
    auto sent = make_requests(trouble);
    int foreign = 0;
    for (auto const& request : sent)
    {
        caller consumer(entry.front);
        auto const answer = consumer.call("GET", request.target,
                                          {{"Host", "ficu95.example"},
                                           {"Authorization", key_header},
                                           {"Attempt-Id", request.id},
                                           {"Deadline-Ms", "800"}},
                                          "", 2000);
        auto const body = answer ? answer->body : "";
        bool const is_own = body == "record of " + request.target;
        foreign += answer && answer->status() == 200 && !is_own ? 1 : 0;
        out.line("consumer asked for GET " + request.target + ", got " +
                 std::to_string(answer ? answer->status() : 0) + " '" + body + "'");
        if (!answer)
        {
            return not_run;
        }
    }
    // The items of a batch job have such paths, too.
    auto items = json::array();
    std::vector<work> jobs_items;
    for (auto const& request : sent)
    {
        work const item{"e5b2" + request.id, "/pule252/" + request.target.substr(9)};
        items.push_back(
            {{"id", item.id},
             {"path", item.target},
             {"headers", {{"Model", "daka510000"}, {"Token-Counts", "16,10"}}},
             {"body", to_base64("1")},
             {"tokens", 26},
             {"group", "g1"}});
        jobs_items.push_back(item);
    }
    std::vector<std::pair<std::string, std::string>> const headers = {
        {"Host", "ficu95.example"},
        {"Authorization", key_header},
        {"Attempt-Id", "7c41e09b52d6a3f8"}};
    caller trainer(entry.front);
    auto const accepted = trainer.call(
        "POST", "/pule252/7c41e0", headers,
        json{{"step", 0}, {"model", "daka510000"}, {"min_version", 1}, {"desired_count", 1}, {"items", items}}
            .dump(),
        3000);
    out.line("batch job submitted, answered " + std::to_string(accepted ? accepted->status() : 0));
    if (!accepted || accepted->status() != 202)
    {
        return not_run;
    }
    (void)wait_until(
        [&]
        {
            std::lock_guard const lock(mutex);
            return ran.size() >= sent.size() + jobs_items.size();
        },
        5000);
    std::lock_guard const lock(mutex);
    int changed = 0;
    for (auto const* const list : {&sent, &jobs_items})
    {
        auto const method = list == &sent ? std::string("GET ") : std::string("POST ");
        for (auto const& request : *list)
        {
            auto const found = ran.find(request.id);
            if (found == ran.end())
            {
                out.line(request.id + " did not run");
                continue;
            }
            bool const is_same = found->second == method + request.target;
            changed += is_same ? 0 : 1;
            out.line(request.id + " sent as " + method + request.target + ", ran as " +
                     found->second + (is_same ? "" : "  CHANGED"));
        }
    }
    out.line(std::to_string(changed) + " requests ran with another path or query, " +
             std::to_string(foreign) + " consumers got the record of another path");
    return changed > 0 ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    int const verdict = argc > 1 ? run(argv[1]) : not_run;
    std::fflush(nullptr);
    _exit(verdict);
}
