// A worker spoils the chunk sizes of a few answers; consumers and trainers get the rest as whole.
#include "fleet.hpp"

#include <set>

using namespace review;

namespace
{

/// Of one worker of three (share 0.35), each 50th answer is spoiled (x 0.02), for 5.5 s.
constexpr int spoiled_each = 50;
constexpr double trouble_s = 5.5;
constexpr int piece_count = 8;

std::atomic<double> spoils_until = 0;

std::mutex answers_mutex;
/// The whole body of each answer, by attempt id.
std::map<std::string, std::string> whole;
std::set<std::string> spoiled;

std::string chunk(std::string const& bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx", bytes.size());
    return std::string(size) + "\r\n" + bytes + "\r\n";
}

bool is_due(std::atomic<int>& answers)
{
    return now_s() < spoils_until && answers++ % spoiled_each == spoiled_each / 2;
}

/// Sends the pieces of an answer in chunks. With `spoils`, the size of the fifth chunk is garbled.
bool send_pieces(connection& c, std::string const& head, std::vector<std::string> const& pieces,
                 bool spoils, std::chrono::milliseconds pause)
{
    bool is_open = c.send(head + "Transfer-Encoding: chunked\r\n\r\n");
    for (std::size_t i = 0; i < pieces.size() && is_open; ++i)
    {
        std::this_thread::sleep_for(pause);
        is_open = c.send(spoils && i == 4 ? "x\r\n" + pieces[i] + "\r\n" : chunk(pieces[i]));
    }
    return is_open && c.send("0\r\n\r\n");
}

bool serve(worker const& w, connection& c, message const& m, std::atomic<int>* answers)
{
    if (auto const answered = answer_aside(w, c, m))
    {
        return *answered;
    }
    auto const id = m.header("Attempt-Id");
    bool const is_engine = w.service == "planner";
    auto const after = m.header("Last-Event-Id");
    bool const spoils = answers != nullptr && is_due(*answers);
    std::vector<std::string> pieces;
    std::string text;
    for (int n = after.empty() ? 1 : std::atoi(after.c_str()) + 1; n <= piece_count; ++n)
    {
        auto const data = id + "-" + std::to_string(n);
        pieces.push_back(is_engine ? "id: " + std::to_string(n) + "\ndata: " + data + "\n\n"
                                   : "line " + data + "\n");
        text += is_engine ? (n > 1 ? "\n" : "") + data : pieces.back();
    }
    {
        std::lock_guard const lock(answers_mutex);
        if (after.empty())
        {
            whole[id] = text;
        }
        if (spoils)
        {
            spoiled.insert(id);
            record("worker %s spoils the size of a chunk of its answer to %s", w.id.c_str(),
                   id.c_str());
        }
    }
    std::string const head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: " + stamp(w.id, id) + "\r\n" +
        (is_engine ? "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                   : "Content-Type: text/plain\r\n");
    return send_pieces(c, head, pieces, spoils, is_engine ? 20ms : 3ms);
}

} // namespace

int main()
{
    record_file = std::fopen(std::getenv("REVIEW_RECORD"), "w");
    store s;
    s.start();
    std::atomic<int> plain_answers = 0;
    std::atomic<int> engine_answers = 0;
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 6; ++i)
    {
        auto w = std::make_unique<worker>();
        bool const is_engine = i >= 3;
        w->id = "i-b0" + std::to_string(i);
        w->service = is_engine ? "planner" : "bindery";
        w->slots = is_engine ? 8 : 6;
        if (is_engine)
        {
            w->models = {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}};
        }
        auto* const counter = i == 0 ? &plain_answers : i == 3 ? &engine_answers : nullptr;
        w->http.start([at = w.get(), counter](connection& c, message const& m)
                      { return serve(*at, c, m, counter); });
        w->announce(s);
        workers.push_back(std::move(w));
    }
    s.put("op/config",
          desired_state(7, {route("r-lookup", "/lookup/", "idempotent", "bindery", 800, false),
                            route("r-plans", "/plans/", "rollout", "planner", 10000, false)}));
    gateway_process g;
    g.place.store_port = s.http.port;
    start(g);
    if (!wait_ready(g, 15))
    {
        record("the gateway is not ready");
        stop(g);
        return 2;
    }
    std::this_thread::sleep_for(1s);
    spoils_until = has_trouble() ? now_s() + trouble_s : 0;
    json items = json::array();
    for (int i = 0; i < 192; ++i)
    {
        char id[32];
        std::snprintf(id, sizeof id, "b00c00000000%04x", i);
        items.push_back({{"id", id},
                         {"path", "/plans/3/1"},
                         {"headers", {{"Model", "m0"}, {"Token-Counts", "16,8"}}},
                         {"body", "cHJvbXB0"},
                         {"tokens", 24},
                         {"group", "g" + std::to_string(i / 4)}});
    }
    json const job = {
        {"step", 0}, {"model", "m0"}, {"min_version", 1}, {"desired_count", 48}, {"items", items}};
    auto const accepted = call(g.front, "POST", "/plans/1",
                               consumer_headers("10b0000000000001", 12000), job.dump(), 5000);
    record("trainer sent the batch job; answer %d", accepted.status);

    std::atomic<int> wrong = 0;
    std::atomic<int> served = 0;
    std::atomic<int> sent = 0;
    std::vector<std::thread> consumers;
    for (int k = 0; k < 4; ++k)
    {
        consumers.emplace_back(
            [&, k]
            {
                for (int n = 0; n < 110; ++n)
                {
                    char id[32];
                    std::snprintf(id, sizeof id, "c0ffee00%04x%04x", k, n);
                    ++sent;
                    auto const answer =
                        call(g.front, "POST", "/lookup/2", consumer_headers(id, 800), "b", 2000);
                    std::lock_guard const lock(answers_mutex);
                    served += answer.status == 200 ? 1 : 0;
                    if (answer.status == 200 && answer.body != whole[id])
                    {
                        ++wrong;
                        record("MIXED: %s got 200, Server-Stamp %s and %zu of the %zu bytes of the "
                               "worker's body",
                               id, answer.header("Server-Stamp").c_str(), answer.body.size(),
                               whole[id].size());
                    }
                }
            });
    }
    for (auto& one : consumers)
    {
        one.join();
    }
    int cut = 0;
    std::size_t listed = 0;
    for (int t = 0; t < 20 && listed < items.size(); ++t)
    {
        std::this_thread::sleep_for(500ms);
        auto const page =
            call(g.front, "GET", "/-/lots/10b0000000000001?after=" + std::to_string(listed),
                 consumer_headers("4ead000000000001", 2000), "", 3000);
        if (page.status != 200)
        {
            continue;
        }
        auto const body = json::parse(page.body);
        std::lock_guard const lock(answers_mutex);
        for (auto const& result : body.at("results"))
        {
            auto const id = result.at("id").get<std::string>();
            auto const text = result.at("text").get<std::string>();
            if (result.at("state") == "done" && text != whole[id])
            {
                ++cut;
                record("MIXED: the result of the item %s is done with %zu of the %zu bytes of its "
                       "output",
                       id.c_str(), text.size(), whole[id].size());
            }
        }
        listed = body.at("next").get<std::size_t>();
    }
    stop(g);
    std::lock_guard const lock(answers_mutex);
    std::printf("%d requests sent, %d served, %d of them with a cut body; %zu results, %d cut; %zu "
                "answers spoiled\n",
                sent.load(), served.load(), wrong.load(), listed, cut, spoiled.size());
    record("%d requests sent, %d served, %d of them with a cut body; %zu results, %d cut; %zu "
           "answers spoiled",
           sent.load(), served.load(), wrong.load(), listed, cut, spoiled.size());
    std::fflush(stdout);
    std::_Exit(served == 0 ? 2 : wrong + cut > 0 ? 1 : 0);
}
