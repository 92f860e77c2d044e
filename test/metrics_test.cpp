#include "base/metrics.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <string>

using namespace gooseberrywood;
using namespace gooseberrywood::base;
using namespace std::chrono_literals;

static_assert(detail::kind_of_name("requests_total") == metric_kind::counter);
static_assert(detail::kind_of_name("queue_wait_seconds") == metric_kind::latency);
static_assert(detail::kind_of_name("running") == metric_kind::gauge);
static_assert(!detail::is_metric_word("Requests") && !detail::is_metric_word("9_total"));

SCENARIO("metrics are exposed in the Prometheus text format")
{
    metrics all;
    GIVEN("counters and gauges with labels")
    {
        auto& requests = counter_at(all, {"requests_total", "Requests\nthat ended."},
                                    {{"team", "a\"b\\c\nd"}, {"route", "r"}});
        add(requests);
        // Guards against two series for one set of labels.
        add(counter_at(all, {"requests_total", "other"}, {{"route", "r"}, {"team", "a\"b\\c\nd"}}),
            2);
        gauge_at(all, {"running", "Running requests."}).value = 1.5;
        gauge_at(all, {"running", ""}, {{"route", "r"}}).value =
            std::numeric_limits<double>::infinity();
        THEN("text is escaped, labels are sorted and a family has one head")
        {
            CHECK(exposition(all) == "# HELP requests_total Requests\\nthat ended.\n"
                                     "# TYPE requests_total counter\n"
                                     "requests_total{route=\"r\",team=\"a\\\"b\\\\c\\nd\"} 3\n"
                                     "# HELP running Running requests.\n"
                                     "# TYPE running gauge\n"
                                     "running 1.5\n"
                                     "running{route=\"r\"} +Inf\n");
        }
        THEN("references stay valid while further series are made")
        {
            for (int i = 0; i < 1000; ++i)
            {
                add(counter_at(all, {"requests_total", ""}, {{"team", std::to_string(i)}}));
            }
            add(requests);
            CHECK(requests.value == 4);
        }
    }
    GIVEN("a histogram of latencies")
    {
        auto& waits = latency_at(all, {"wait_seconds", "Wait."}, {{"route", "r"}});
        for (auto const wait : {duration(-5us), duration(0us), duration(100us), duration(101us),
                                duration(1s), duration(2h)})
        {
            record(waits, wait);
        }
        auto const text = exposition(all);
        CAPTURE(text);
        auto const has = [&](std::string const& line)
        {
            return text.find("\n" + line + "\n") != std::string::npos;
        };
        CHECK(has("# TYPE wait_seconds histogram"));
        // Guards against a latency that equals a bound being counted above it.
        CHECK(has("wait_seconds_bucket{route=\"r\",le=\"0.0001\"} 3"));
        CHECK(has("wait_seconds_bucket{route=\"r\",le=\"0.0001778\"} 4"));
        CHECK(has("wait_seconds_bucket{route=\"r\",le=\"0.5623\"} 4"));
        CHECK(has("wait_seconds_bucket{route=\"r\",le=\"1\"} 5"));
        CHECK(has("wait_seconds_bucket{route=\"r\",le=\"1000\"} 5"));
        CHECK(has("wait_seconds_bucket{route=\"r\",le=\"+Inf\"} 6"));
        CHECK(has("wait_seconds_sum{route=\"r\"} 7201.000201"));
        CHECK(has("wait_seconds_count{route=\"r\"} 6"));
    }
}

SCENARIO("a bucket counts just the latencies up to its bound")
{
    // Guards against rounding errors at the bounds, most of which are not whole microseconds.
    for (std::size_t i = 0; i <= latency_buckets; ++i)
    {
        latency_histogram histogram;
        // The bounds are computed; one that is meant to be whole may be off by a rounding error.
        auto const bound = static_cast<std::int64_t>(
            std::floor(cumulative_buckets(histogram).at(i).most_us + 1e-6));
        CAPTURE(bound);
        record(histogram, duration(bound));
        record(histogram, duration(bound + 1));
        CHECK(cumulative_buckets(histogram).at(i).count == 1);
        CHECK((i == 0 || cumulative_buckets(histogram).at(i - 1).count == 0));
        CHECK((i == latency_buckets || cumulative_buckets(histogram).at(i + 1).count == 2));
    }
}
