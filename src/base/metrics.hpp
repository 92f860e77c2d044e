#ifndef GOOSEBERRYWOOD_BASE_METRICS_HPP
#define GOOSEBERRYWOOD_BASE_METRICS_HPP

#include "base/latency_histogram.hpp"
#include "base/metric_name.hpp"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief A number that only grows.
struct counter
{
    std::uint64_t value = 0;
};

/// \ingroup base
/// \brief A number that rises and falls.
struct gauge
{
    double value = 0;
};

/// \ingroup base
/// \brief A label of a series.
struct label
{
    label_name name;
    std::string_view value;
};

/// \ingroup base
/// \brief The series of one metric, by their labels in text form.
template <class Series>
struct metric_family
{
    std::string help;
    std::map<std::string, Series, std::less<>> series;
};

/// \ingroup base
/// \brief All metrics of a process. The process is single-threaded, so that there are no locks.
struct metrics
{
    template <class Series>
    using families = std::map<std::string, metric_family<Series>, std::less<>>;

    families<counter> counters;
    families<gauge> gauges;
    families<latency_histogram> latencies;
};

/// \ingroup base
/// \brief Finds or makes a counter.
/// \param name name and description; the description given first is kept.
/// \param labels in any order; of two with the same name the first counts. Each set of values makes
/// a series that lasts as long as `in`: don't use ids of requests.
/// \returns a reference that stays valid as long as `in`. Keep it where the count is frequent: the
/// look-up costs far more than the increment.
[[nodiscard]] counter& counter_at(metrics& in, metric_name<metric_kind::counter> name,
                                  std::initializer_list<label> labels = {});

/// \brief Finds or makes a gauge; as `counter_at`.
[[nodiscard]] gauge& gauge_at(metrics& in, metric_name<metric_kind::gauge> name,
                              std::initializer_list<label> labels = {});

/// \brief Finds or makes a histogram of latencies; as `counter_at`.
[[nodiscard]] latency_histogram& latency_at(metrics& in, metric_name<metric_kind::latency> name,
                                            std::initializer_list<label> labels = {});

/// \brief Counts.
inline void add(counter& to, std::uint64_t more = 1)
{
    to.value += more;
}

/// \ingroup base
/// \brief Value of the header `Content-Type` for `exposition`.
inline constexpr std::string_view exposition_content_type =
    "text/plain; version=0.0.4; charset=utf-8";

/// \brief All metrics in the Prometheus text format, version 0.0.4; latencies in seconds.
[[nodiscard]] std::string exposition(metrics const& of);

} // namespace gooseberrywood::base

#endif
