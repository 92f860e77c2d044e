// What it costs to spread configuration changes, modelled by fleet size, and what a change costs in
// CPU time, measured. Sizes of frames are those of the real codec.
#include "config.hpp"
#include "wire.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the modelled times and of the bundle texts");
DEFINE_uint64(changes_a_day, 32'000, "configuration changes a day");
DEFINE_uint64(record_bytes, 1'000'000, "size of the bundle text in the model of the fleet");

using namespace gooseberrywood;

namespace
{

constexpr double seconds_a_day = 86'400;
/// Fields of each frame that serve the configuration only: two times, the standing and a hash.
constexpr double frame_field_bytes = 25;
/// Time of one call to the store and of one frame, in seconds.
constexpr double store_call_s = 0.005;
constexpr double frame_s = 0.0005;
/// Reads that the store serves a second; watches that fire count as one each.
constexpr double store_reads_limit = 2'000;
constexpr double store_poll_s = std::chrono::duration<double>(config::store_poll_interval).count();
/// Idle connections carry a frame a second in each direction.
constexpr double ping_interval_s = 1;

std::string bundle_text(std::size_t bytes, std::mt19937_64& random)
{
    std::string text = "version = 1\ndomains = [\"a\", \"b\", \"c\"]\n\n";
    for (int team = 0; text.size() < bytes; ++team)
    {
        text += fmt::format("[[team]]\nname = \"team-{}\"\nweight = 1\nkeys = [\n", team);
        for (int key = 0; key < 4 && text.size() < bytes; ++key)
        {
            text += fmt::format("  \"{:016x}{:016x}{:016x}{:016x}\",\n", random(), random(),
                                random(), random());
        }
        text += "]\n\n";
    }
    return text;
}

config::record record_of(std::uint64_t version, std::string text)
{
    return {version, std::move(text), std::string(128, 'a'), {}};
}

/// Replaces one key by another, as most changes do.
config::record replace_key(config::record const& from, std::mt19937_64& random)
{
    auto text = from.bundle_text;
    auto const at = text.find("  \"", random() % (text.size() * 9 / 10)) + 3;
    text.replace(at, 16, fmt::format("{:016x}", random()));
    return record_of(from.version + 1, std::move(text));
}

template <class Body>
double frame_bytes(Body body)
{
    auto const encoded = wire::encode({{1, 2, false, {}}, base::wall_now(), 1, 1, std::move(body)});
    return static_cast<double>(encoded ? encoded->size() : 0);
}

struct change_sizes
{
    double delta = 0;
    double head = 0;
    double record = 0;
};

change_sizes average_sizes(std::mt19937_64& random)
{
    constexpr int samples = 20;
    auto record = record_of(1, bundle_text(FLAGS_record_bytes * 9 / 10, random));
    change_sizes sizes;
    sizes.record = static_cast<double>(config::encode(record).value_or("").size());
    for (int at = 0; at < samples; ++at)
    {
        auto next = replace_key(record, random);
        auto const delta = config::encode(config::make_delta(record, next));
        auto const head = config::encode(config::make_head(record, next));
        sizes.delta += static_cast<double>(delta.value_or("").size()) / samples;
        sizes.head += static_cast<double>(head.value_or("").size()) / samples;
        record = std::move(next);
    }
    return sizes;
}

struct fleet_row
{
    double store_calls = 0;
    double store_bytes = 0;
    double agent_bytes = 0;
    double agent_messages = 0;
    double entry_bytes = 0;
    double entry_messages = 0;
};

std::size_t entries_of(std::size_t processes)
{
    // Some tens at 2,400 processes; at least two, so that one may fail.
    return std::max<std::size_t>(2, processes / 50);
}

/// Traffic with an operator's command at one process, per change: hellos, the announcement and its
/// answer, and some frames while the command waits.
double command_bytes(change_sizes const& sizes)
{
    wire::hello hello;
    hello.host = "operator-host";
    hello.domain = "medellin-a";
    wire::config_intent announcement{1, 1, "operator-host-12345678", false, {}};
    announcement.content = std::string(static_cast<std::size_t>(sizes.delta), 'x');
    return 2 * frame_bytes(hello) + frame_bytes(announcement) +
           frame_bytes(wire::config_intent{1, 1, "operator-host-12345678", false, {}}) +
           4 * frame_bytes(wire::ping{});
}

constexpr double command_messages = 8;

fleet_row announced(std::size_t processes, change_sizes const& sizes)
{
    auto const rate = static_cast<double>(FLAGS_changes_a_day) / seconds_a_day;
    auto const entries = static_cast<double>(entries_of(processes));
    auto const agents = static_cast<double>(processes) - entries;
    fleet_row row;
    // An operator reads the head and the record, writes the record and the head.
    row.store_calls = entries / store_poll_s + 4 * rate;
    row.store_bytes =
        entries / store_poll_s * sizes.head + rate * (2 * sizes.record + 2 * sizes.head);
    row.agent_bytes = rate * command_bytes(sizes) + 2 * entries * frame_field_bytes;
    row.agent_messages = rate * command_messages;
    // A frame a second and direction is sent anyway and only its new fields count. Each entry sends
    // one more to its share of the agents when it has a new version.
    auto const share = agents / entries;
    row.entry_bytes = rate * command_bytes(sizes) + sizes.head + 2 * agents * frame_field_bytes +
                      rate * share * frame_bytes(wire::ping{});
    row.entry_messages = rate * (command_messages + share) + 2;
    return row;
}

fleet_row naive(std::size_t processes, change_sizes const& sizes)
{
    auto const rate = static_cast<double>(FLAGS_changes_a_day) / seconds_a_day;
    fleet_row row;
    row.store_calls = rate * (static_cast<double>(processes) + 1);
    row.store_bytes = rate * static_cast<double>(processes + 1) * sizes.record;
    row.agent_bytes = rate * sizes.record;
    row.agent_messages = 2 * rate;
    row.entry_bytes = row.agent_bytes;
    row.entry_messages = row.agent_messages;
    return row;
}

/// Seconds from the accepted write until the last process has the version.
double spread_time(std::size_t processes, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> phase(0, ping_interval_s);
    std::vector<double> entries(entries_of(processes));
    for (auto& learns : entries)
    {
        learns = phase(random) + store_call_s;
    }
    std::vector<double> agents(processes - entries.size());
    for (std::size_t at = 0; at < agents.size(); ++at)
    {
        // At once from the entry in whose share it is, or from another one's next frame.
        agents[at] = entries[at % entries.size()] + frame_s;
        for (auto const learned : entries)
        {
            agents[at] = std::min(agents[at], learned + phase(random) + frame_s);
        }
    }
    for (auto& learns : entries)
    {
        for (auto const learned : agents)
        {
            learns = std::min(learns, learned + phase(random) + frame_s);
        }
    }
    return std::max(*std::max_element(entries.begin(), entries.end()),
                    *std::max_element(agents.begin(), agents.end()));
}

void print_fleets(std::mt19937_64& random)
{
    auto const sizes = average_sizes(random);
    fmt::print("fleet model: {} changes a day, record {:.0f} bytes, delta {:.0f}, head {:.0f}\n",
               FLAGS_changes_a_day, sizes.record, sizes.delta, sizes.head);
    fmt::print("not counted: the frames that keep connections alive, {:.0f} bytes a second and "
               "direction on each\n",
               frame_bytes(wire::ping{}) - frame_field_bytes);
    fmt::print("{:>9} {:>7} {:<9} {:>10} {:>12} {:>10} {:>8} {:>10} {:>8} {:>8} {:>8}\n",
               "processes", "entries", "way", "store c/s", "store KB/s", "agent B/s", "msg/s",
               "entry B/s", "msg/s", "p50 s", "max s");
    for (std::size_t const processes : {10, 50, 200, 2400})
    {
        std::vector<double> times;
        constexpr int runs = 200;
        times.reserve(runs);
        for (int at = 0; at < runs; ++at)
        {
            times.push_back(spread_time(processes, random));
        }
        std::sort(times.begin(), times.end());
        auto const print =
            [&](std::string_view way, fleet_row const& row, double middle, double last)
        {
            fmt::print("{:>9} {:>7} {:<9} {:>10.1f} {:>12.1f} {:>10.0f} {:>8.2f} {:>10.0f} "
                       "{:>8.2f} {:>8.3f} {:>8.3f}\n",
                       processes, entries_of(processes), way, row.store_calls,
                       row.store_bytes / 1000, row.agent_bytes, row.agent_messages, row.entry_bytes,
                       row.entry_messages, middle, last);
        };
        print("announced", announced(processes, sizes), times[times.size() / 2], times.back());
        // Watches that fire at once are answered at the rate of the store.
        auto const drain = static_cast<double>(processes) / store_reads_limit;
        print("naive", naive(processes, sizes), store_call_s + drain, store_call_s + drain);
    }
}

template <class Work>
double nanoseconds(Work work)
{
    using clock = std::chrono::steady_clock;
    constexpr int rounds = 7;
    std::vector<double> times;
    times.reserve(rounds);
    for (int at = 0; at < rounds; ++at)
    {
        auto const start = clock::now();
        work();
        times.push_back(std::chrono::duration<double, std::nano>(clock::now() - start).count());
    }
    std::sort(times.begin(), times.end());
    return times[rounds / 2];
}

void print_costs(std::mt19937_64& random)
{
    fmt::print("\nCPU nanoseconds a change (median of 7)\n{:>12} {:>12} {:>12} {:>12} {:>12} "
               "{:>12}\n",
               "record bytes", "make_delta", "decode", "apply", "encode all", "decode all");
    for (std::size_t const bytes : {10'000, 100'000, 900'000})
    {
        auto const from = record_of(1, bundle_text(bytes, random));
        auto const to = replace_key(from, random);
        auto const hash = config::record_hash(from);
        auto const delta = config::make_delta(from, to);
        auto const delta_text = config::encode(delta).value_or("");
        auto const record_text = config::encode(to).value_or("");
        std::size_t kept = 0;
        auto const make_ns =
            nanoseconds([&] { kept += config::make_delta(from, to).edits.size(); });
        auto const decode_ns =
            nanoseconds([&] { kept += config::decode_delta(delta_text).has_value() ? 1 : 0; });
        auto const apply_ns =
            nanoseconds([&] { kept += config::apply(from, hash, delta).has_value() ? 1 : 0; });
        auto const encode_ns = nanoseconds([&] { kept += config::encode(to).has_value() ? 1 : 0; });
        auto const decode_all_ns =
            nanoseconds([&] { kept += config::decode_record(record_text).has_value() ? 1 : 0; });
        fmt::print("{:>12} {:>12.0f} {:>12.0f} {:>12.0f} {:>12.0f} {:>12.0f}{}\n",
                   record_text.size(), make_ns, decode_ns, apply_ns, encode_ns, decode_all_ns,
                   kept < 35 ? "  (a step failed)" : "");
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::mt19937_64 random(FLAGS_seed);
    fmt::print("seed {}\n", FLAGS_seed);
    print_fleets(random);
    print_costs(random);
    return 0;
}
