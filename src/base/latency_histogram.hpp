#ifndef GOOSEBERRYWOOD_BASE_LATENCY_HISTOGRAM_HPP
#define GOOSEBERRYWOOD_BASE_LATENCY_HISTOGRAM_HPP

#include "base/time.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint>
#include <tuple>
#include <vector>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief Range of the buckets: from below one network round trip to above the longest timeout of a
/// request. Values outside are counted in the first bucket and the one without bound.
inline constexpr double least_latency_us = 100;
inline constexpr double most_latency_us = 1e9;

/// \ingroup base
/// \brief Four buckets a decade: neighbouring bounds differ by a factor of 1.78, fine enough to see
/// a latency double, at 30 lines a series.
inline constexpr unsigned latency_buckets = 28;

using latency_axis =
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

/// \ingroup base
/// \brief Counts latencies in logarithmic buckets of microseconds.
struct latency_histogram
{
    using buckets_type =
        boost::histogram::histogram<std::tuple<latency_axis>,
                                    boost::histogram::dense_storage<std::uint64_t>>;

    buckets_type buckets = boost::histogram::make_histogram_with(
        boost::histogram::dense_storage<std::uint64_t>(),
        latency_axis(latency_buckets, least_latency_us, most_latency_us));
    std::uint64_t count = 0;
    std::int64_t sum_us = 0;
};

/// \ingroup base
/// \brief Counts one latency. A negative one counts as zero: wall clocks may step back.
void record(latency_histogram& into, duration latency);

/// \ingroup base
/// \brief One line of a histogram as Prometheus has it.
struct cumulative_bucket
{
    /// Upper bound, included.
    double most_us = 0;
    /// Latencies up to the bound.
    std::uint64_t count = 0;
};

/// \ingroup base
/// \brief The bounded buckets, ascending. `latency_histogram::count` is the one without bound.
[[nodiscard]] std::vector<cumulative_bucket> cumulative_buckets(latency_histogram const& of);

} // namespace gooseberrywood::base

#endif
