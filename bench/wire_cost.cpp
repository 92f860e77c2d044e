// Bytes and processor time of each kind of frame, and memory of an idle connection.
#include "base/time.hpp"
#include "wire/codec.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <ctime>
#include <string>
#include <vector>

DEFINE_int32(repeats, 200'000, "frames of each kind");

namespace
{

using namespace gooseberrywood;

// Processor time, not wall time, so that a busy machine does not change the figures.
double cpu_ns()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e9 + static_cast<double>(now.tv_nsec);
}

struct sample
{
    std::string name;
    wire::message body;
};

std::vector<sample> samples()
{
    wire::start start;
    start.upstream = "planner-lm-1";
    start.team = "marija-bistrica";
    start.route = "planner-lm";
    start.path = "/v1/completions";
    start.method = "POST";
    start.content_type = "application/json";
    start.key_hash = std::string(64, 'a');
    start.body = std::string(1024, 'x');
    wire::chunk chunk;
    chunk.tokens = 1;
    chunk.bytes = std::string(220, 'x');
    auto four = chunk;
    four.tokens = 4;
    four.bytes = std::string(880, 'x');
    wire::finished finished;
    finished.content_type = "text/event-stream";
    finished.finish_reason = "length";
    return {{"ping", wire::ping{}},
            {"credit", wire::credit{"planner-lm-1", 8, 64, 32, 16, 1'000'000, true}},
            {"start, 1 KiB body", start},
            {"started", wire::started{}},
            {"chunk, 1 token", chunk},
            {"chunk, 4 tokens", four},
            {"finished", finished}};
}

void measure(sample const& s)
{
    wire::frame const frame{{7, 1, false, {}}, base::wall_now(), 1, 1, s.body};
    std::size_t bytes = 0;
    auto const began = cpu_ns();
    for (int i = 0; i < FLAGS_repeats; ++i)
    {
        bytes += wire::encode(frame)->size();
    }
    auto const encoded_at = cpu_ns();
    auto const text = *wire::encode(frame);
    auto const content = std::as_bytes(std::span(text)).subspan(wire::length_bytes);
    std::size_t decoded = 0;
    for (int i = 0; i < FLAGS_repeats; ++i)
    {
        decoded += wire::decode(content).has_value() ? 1 : 0;
    }
    auto const end = cpu_ns();
    auto const count = static_cast<double>(FLAGS_repeats);
    fmt::print("{:20} {:8.0f} {:12.0f} {:12.0f}\n", s.name, static_cast<double>(bytes) / count,
               (encoded_at - began) / count, (end - encoded_at) / static_cast<double>(decoded));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("cost of frames between processes");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fmt::print("{:20} {:>8} {:>12} {:>12}\n", "frame", "bytes", "encode ns", "decode ns");
    for (auto const& s : samples())
    {
        measure(s);
    }
    return 0;
}
