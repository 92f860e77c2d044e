// Load tool for running processes: sends HTTP requests at a fixed rate or concurrency and prints
// throughput and latency as one JSON object.
#include "http/call.hpp"

#include "base/event_source.hpp"
#include "base/time.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

DEFINE_string(targets, "http://127.0.0.1:7001",
              "base URLs, separated by commas; used in turn. Loopback addresses only");
DEFINE_string(path, "/v1/completions", "path of the requests");
DEFINE_string(method, "POST", "method of the requests");
DEFINE_string(keys, "", "keys, separated by commas; one team a key");
DEFINE_string(shares, "", "requests of each key relative to the others, for example 20,1,1");
DEFINE_string(model, "planner-lm", "model of completion requests");
DEFINE_int32(max_tokens, 16, "generated tokens of a request");
DEFINE_int32(prompt_bytes, 64, "prompt length in bytes");
DEFINE_bool(stream, true, "ask for streamed answers");
DEFINE_double(rate, 0, "requests a second, sent whether or not earlier ones were answered");
DEFINE_int32(concurrency, 8, "requests in flight when no rate is given");
DEFINE_double(seconds, 5, "how long to send; at most 600");
DEFINE_uint64(seed, 1, "seed of the prompts");

namespace
{

using namespace gooseberrywood;

constexpr double us_per_s = 1e6;
constexpr double longest_run_s = 600;

std::vector<std::string> split(std::string const& text)
{
    std::vector<std::string> out;
    std::size_t begin = 0;
    while (begin <= text.size() && !text.empty())
    {
        auto const end = std::min(text.find(',', begin), text.size());
        out.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return out;
}

struct key_figures
{
    std::vector<std::int64_t> latencies_us;
    std::vector<std::int64_t> first_byte_us;
    std::map<std::string, std::size_t> outcomes;
    std::size_t tokens = 0;
};

struct running_call
{
    std::shared_ptr<http::call> call;
    std::size_t key = 0;
    base::mono_time sent_at{};
    base::mono_time first_byte_at{};
    std::uint16_t status = 0;
    std::size_t tokens = 0;
    bool error_event = false;
};

struct load
{
    base::object_ptr<SoupSession> session;
    GMainLoop* loop = nullptr;
    std::vector<std::string> targets;
    std::vector<std::string> keys;
    std::vector<std::size_t> order;
    std::vector<key_figures> figures;
    std::unordered_map<std::size_t, running_call> running;
    std::vector<std::size_t> ended;
    std::size_t sent = 0;
    base::mono_time begin{};
    base::mono_time end{};
    base::event_source timer;
    base::event_source cleaner;
};

std::string body_of(std::size_t number)
{
    if (FLAGS_path.find("/v1/") != 0)
    {
        return fmt::format("{{\"order\":{}}}", number);
    }
    std::string prompt = fmt::format("{}-{}-", FLAGS_seed, number);
    prompt.resize(
        std::max<std::size_t>(prompt.size(), static_cast<std::size_t>(FLAGS_prompt_bytes)), 'x');
    return nlohmann::json{{"model", FLAGS_model},
                          {"prompt", prompt},
                          {"max_tokens", FLAGS_max_tokens},
                          {"stream", FLAGS_stream}}
        .dump();
}

void send_one(load& l);

void finish(load& l, std::size_t number, std::string const& failure)
{
    auto& r = l.running.at(number);
    auto& f = l.figures[r.key];
    auto const now = base::mono_now();
    bool const ok = failure.empty() && r.status == 200 && !r.error_event;
    if (ok)
    {
        f.latencies_us.push_back((now - r.sent_at).count());
        f.first_byte_us.push_back((r.first_byte_at - r.sent_at).count());
        f.tokens += r.tokens;
    }
    std::string outcome = ok ? "ok" : failure;
    if (!ok && failure.empty())
    {
        outcome = r.error_event ? "error_event" : fmt::format("status_{}", r.status);
    }
    ++f.outcomes[outcome];
    // Released from the loop: the call is still on the stack.
    l.ended.push_back(number);
    l.cleaner = base::soon(
        [&l]
        {
            for (auto const n : l.ended)
            {
                l.running.erase(n);
                if (FLAGS_rate <= 0 && base::mono_now() < l.end)
                {
                    send_one(l);
                }
            }
            l.ended.clear();
            if (l.running.empty() && base::mono_now() >= l.end)
            {
                g_main_loop_quit(l.loop);
            }
        });
}

std::size_t count_of(std::string_view text, std::string_view part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1))
    {
        ++count;
    }
    return count;
}

void receive(running_call& r, std::string_view bytes)
{
    if (r.first_byte_at == base::mono_time{})
    {
        r.first_byte_at = base::mono_now();
    }
    r.tokens += count_of(bytes, "\"token_index\"");
    r.error_event = r.error_event || bytes.find("event: error") != std::string_view::npos;
}

void send_one(load& l)
{
    auto const number = l.sent++;
    auto const key = l.order[number % l.order.size()];
    http::call_request request;
    request.method = FLAGS_method;
    request.url = l.targets[number % l.targets.size()] + FLAGS_path;
    if (FLAGS_method != "GET")
    {
        request.content_type = "application/json";
        request.body = body_of(number);
    }
    request.may_repeat = true;
    if (!l.keys.empty())
    {
        request.headers.push_back({"Authorization", "Bearer " + l.keys[key]});
    }
    auto& r = l.running[number];
    r.key = key;
    r.sent_at = base::mono_now();
    r.call = http::start_call(l.session.get(), request,
                              {[&r](std::uint16_t status, std::string_view) { r.status = status; },
                               [&r](std::string_view bytes) { receive(r, bytes); },
                               [&l, number] { finish(l, number, ""); },
                               [&l, number](base::error const&, bool)
                               {
                                   finish(l, number, "connection");
                               }});
}

std::int64_t quantile(std::vector<std::int64_t>& values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

nlohmann::ordered_json report(key_figures& f, double seconds)
{
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    return {{"ok", f.latencies_us.size()},
            {"ok_per_s", static_cast<double>(f.latencies_us.size()) / seconds},
            {"tokens_per_s", static_cast<double>(f.tokens) / seconds},
            {"latency_p50_us", quantile(f.latencies_us, median)},
            {"latency_p99_us", quantile(f.latencies_us, tail)},
            {"first_byte_p50_us", quantile(f.first_byte_us, median)},
            {"first_byte_p99_us", quantile(f.first_byte_us, tail)},
            {"outcomes", f.outcomes}};
}

void on_tick(load& l)
{
    auto const now = base::mono_now();
    if (now >= l.end)
    {
        l.timer.reset();
        if (l.running.empty())
        {
            g_main_loop_quit(l.loop);
        }
        return;
    }
    auto const due = static_cast<std::size_t>(
        FLAGS_rate * static_cast<double>((now - l.begin).count()) / us_per_s);
    while (l.sent < due)
    {
        send_one(l);
    }
}

void begin(load& l)
{
    l.begin = base::mono_now();
    l.end = l.begin + base::duration{static_cast<std::int64_t>(
                          std::min(FLAGS_seconds, longest_run_s) * us_per_s)};
    if (FLAGS_rate > 0)
    {
        l.timer = base::every(std::chrono::milliseconds(1), [&l] { on_tick(l); });
        return;
    }
    for (int i = 0; i < FLAGS_concurrency; ++i)
    {
        send_one(l);
    }
}

std::vector<std::size_t> make_order(std::size_t keys)
{
    auto const shares = split(FLAGS_shares);
    std::vector<std::size_t> order;
    for (std::size_t k = 0; k < std::max<std::size_t>(1, keys); ++k)
    {
        std::size_t const share = k < shares.size() ? std::stoul(shares[k]) : 1;
        order.insert(order.end(), share, k);
    }
    return order;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("load tool for gooseberrywood processes on this machine");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (sodium_init() < 0)
    {
        return 1;
    }
    load l;
    l.session = http::make_session();
    l.loop = g_main_loop_new(nullptr, FALSE);
    l.targets = split(FLAGS_targets);
    l.keys = split(FLAGS_keys);
    l.order = make_order(l.keys.size());
    l.figures.resize(std::max<std::size_t>(1, l.keys.size()));
    for (auto const& t : l.targets)
    {
        if (!t.starts_with("http://127."))
        {
            fmt::print(stderr, "bench_load: {} is not a loopback address\n", t);
            return 2;
        }
    }
    begin(l);
    g_main_loop_run(l.loop);
    double const seconds = static_cast<double>((base::mono_now() - l.begin).count()) / us_per_s;
    nlohmann::ordered_json out = {{"seconds", seconds}, {"sent", l.sent}};
    for (auto& figures : l.figures)
    {
        out["by_key"].push_back(report(figures, seconds));
    }
    fmt::print("{}\n", out.dump(2));
    return 0;
}
