#include "base/latency_histogram.hpp"

#include <algorithm>

namespace gooseberrywood::base
{

void record(latency_histogram& into, duration latency)
{
    auto const micros = std::max<std::int64_t>(latency.count(), 0);
    // A Boost bucket excludes its upper bound, a Prometheus bucket includes it. Latencies are whole
    // microseconds and no bound lies less than this above one, so that the shift moves just the
    // latencies that equal a bound.
    constexpr double shift = 0.001;
    into.buckets(std::max(static_cast<double>(micros) - shift, 0.0));
    ++into.count;
    into.sum_us += micros;
}

std::vector<cumulative_bucket> cumulative_buckets(latency_histogram const& of)
{
    auto const& axis = of.buckets.axis();
    std::vector<cumulative_bucket> made;
    // Index -1 holds what lies below the first bound.
    std::uint64_t count = of.buckets.at(-1);
    for (int i = 0; i < axis.size(); ++i)
    {
        made.push_back({axis.value(i), count});
        count += of.buckets.at(i);
    }
    made.push_back({axis.value(axis.size()), count});
    return made;
}

} // namespace gooseberrywood::base
