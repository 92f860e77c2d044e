// A crowd of clients sends chunked bodies in very small chunks that stop just short of their end, and
// stays open. The platform kills the gateway when it uses more memory than its machine has.
// Usage: case_client_crowd FOLDER, in the root of the repository. With TROUBLE=0 there is no crowd.
#include "platform.hpp"

using namespace review;

namespace
{

// As on the sheet of Zagorje: three workers of 6 slots, 80 ms of work, an aim of 400 ms and a time
// limit of 2,000 ms (row `thread-stock`); a gateway has 260 MB.
constexpr int workers = 3;
constexpr int slots = 6;
constexpr int work_ms = 80;
constexpr int aim_ms = 400;
constexpr int time_limit_ms = 2000;
constexpr double memory_limit_mb = 260;
constexpr int callers_count = 24;
constexpr int pause_ms = 20;
constexpr int trouble_for_ms = 50'000;
constexpr int max_kills = 6;
constexpr int restart_ms = 600;
constexpr int check_us = 1000;
// The crowd.
constexpr int crowd = 64;
constexpr int body_bytes = 256 * 1024;
constexpr int chunks_of_a_send = 128;
// So that the gateway is not busy with the crowd alone.
constexpr int crowd_pause_ms = 20;

struct shared_state
{
    std::atomic<bool> stop{false};
    std::mutex mutex;
    /// Attempts that a worker has begun and not answered yet.
    std::set<std::string> at_sound_worker;
    std::map<std::string, int> outcomes;
    std::atomic<std::int64_t> crowd_bytes{0};
    int lost = 0;
};

/// A client that sends all but the last byte of a body, a byte a chunk, and stays open.
void send_small_chunks(int number, std::uint16_t port, shared_state& state)
{
    int const fd = connect_to(port);
    if (fd < 0)
    {
        sleep_ms(200);
        return;
    }
    (void)send_all(fd, "POST /lohu930/crowd" + std::to_string(number) +
                           " HTTP/1.1\r\nHost: ficu95.example\r\nAuthorization: " + key_header +
                           "\r\nAttempt-Id: c" + std::to_string(number) +
                           "\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string chunks;
    for (int i = 0; i < chunks_of_a_send; ++i)
    {
        chunks += "1\r\nx\r\n";
    }
    for (int sent = 0; sent + chunks_of_a_send < body_bytes && !state.stop; sent += chunks_of_a_send)
    {
        if (!send_all(fd, chunks))
        {
            close(fd);
            return;
        }
        state.crowd_bytes += chunks_of_a_send;
        sleep_ms(crowd_pause_ms);
    }
    while (!state.stop)
    {
        sleep_ms(50);
    }
    close(fd);
}

/// A worker of the plain service.
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
    // Spread around the mean of the sheet.
    sleep_ms(work_ms / 2 + std::rand() % work_ms);
    auto const answer = http_response(200, std::string(800, 'y'),
                                      {{"Attempt-Id", id}, {"Server-Stamp", "s." + id}});
    bool const sent = send_all(fd, answer);
    return sent;
}

/// A consumer that sends lookups on a kept connection, one after the other.
void call_lookups(int number, std::uint16_t port, shared_state& state,
                  record& out)
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
                out.line("request " + id + " was at a sound worker; its kept connection ended "
                                           "without an answer");
            }
        }
        sleep_ms(answer ? std::rand() % (2 * pause_ms) : 200);
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
    if (!store.start())
    {
        return not_run;
    }
    auto& servers = *new std::vector<server>(workers);
    for (int i = 0; i < workers; ++i)
    {
        auto& one = servers[static_cast<std::size_t>(i)];
        one.handle = [i, &state](int fd, message const& request)
        {
            return serve_lookup(i, fd, request, state);
        };
        if (!one.start())
        {
            return not_run;
        }
        store.put("servers/i-app-" + std::to_string(i),
                  worker_entry("bindery-app", one.port, slots).dump());
    }
    store.put("op/config", json{{"version", 3},
                                {"routes", {route("ficu95.example", "/lohu930/", "non_idempotent",
                                                  "bindery-app", false, time_limit_ms, aim_ms)}},
                                {"services", {{{"name", "bindery-app"}, {"max_conns", 100}}}},
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
    std::vector<std::thread> callers;
    for (int i = 0; i < callers_count; ++i)
    {
        callers.emplace_back([&, i] { call_lookups(i, entry.front, state, out); });
    }
    sleep_ms(2000);
    out.line("memory of the gateway with sound workers: " + std::to_string(entry.process.memory_mb()) +
             " MB");
    out.line(trouble ? "the crowd begins: " + std::to_string(crowd) + " clients" : "no crowd");
    for (int i = 0; trouble && i < crowd; ++i)
    {
        callers.emplace_back(
            [&, i]
            {
                // It comes again when its connection has ended.
                while (!state.stop)
                {
                    send_small_chunks(i, entry.front, state);
                }
            });
    }
    double peak = 0;
    int kills = 0;
    auto const end = clock_type::now() + milliseconds(trouble_for_ms);
    while (clock_type::now() < end && kills < max_kills)
    {
        auto const used = entry.process.memory_mb();
        peak = std::max(peak, used);
        if (used > memory_limit_mb)
        {
            out.line("the gateway uses " + std::to_string(used) +
                     " MB: more than its 260 MB, so the platform kills it");
            entry.process.end(SIGKILL);
            ++kills;
            sleep_ms(restart_ms);
            entry.launch();
        }
        std::this_thread::sleep_for(std::chrono::microseconds(check_us));
    }
    sleep_ms(500);
    state.stop = true;
    for (auto& one : callers)
    {
        one.join();
    }
    std::lock_guard const lock(state.mutex);
    for (auto const& [what, count] : state.outcomes)
    {
        out.line("answers " + what + ": " + std::to_string(count));
    }
    out.line("bytes of bodies that the crowd sent: " + std::to_string(state.crowd_bytes) +
             ", peak memory " +
             std::to_string(peak) + " MB, killed " + std::to_string(kills) + " times, " +
             std::to_string(state.lost) + " requests lost at sound workers");
    // LOST: more than three times.
    return kills > 0 && state.lost > 3 ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    int const verdict = argc > 1 ? run(argv[1]) : not_run;
    std::fflush(nullptr);
    _exit(verdict);
}
