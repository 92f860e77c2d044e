#include "base/metrics.hpp"

#include <fmt/format.h>

#include <cmath>
#include <iterator>

namespace gooseberrywood::base
{

namespace
{

constexpr double micros_per_second = 1e6;

/// Escapes backslashes and line ends, and quotation marks in label values.
std::string escape(std::string_view text, bool quoted)
{
    std::string made;
    for (char const c : text)
    {
        if (c == '\n')
        {
            made += "\\n";
            continue;
        }
        if (c == '\\' || (quoted && c == '"'))
        {
            made += '\\';
        }
        made += c;
    }
    return made;
}

/// \returns the labels in ascending order, for example `route="r",team="a"`; equal for equal sets.
std::string to_text(std::initializer_list<label> labels)
{
    std::map<std::string_view, std::string_view> sorted;
    for (auto const& one : labels)
    {
        sorted.emplace(one.name.name, one.value);
    }
    std::string text;
    for (auto const& [name, value] : sorted)
    {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escape(value, true));
    }
    return text;
}

template <class Series, metric_kind Kind>
Series& at(metrics::families<Series>& in, metric_name<Kind> const& name,
           std::initializer_list<label> labels)
{
    auto& family = in[std::string(name.name)];
    if (family.help.empty())
    {
        family.help = name.help;
    }
    return family.series[to_text(labels)];
}

std::string number(double value)
{
    if (std::isnan(value))
    {
        return "NaN";
    }
    return std::isinf(value) ? (value > 0 ? "+Inf" : "-Inf") : fmt::format("{}", value);
}

void write_sample(std::string& into, std::string_view name, std::string_view labels,
                  std::string_view value)
{
    auto const end = std::back_inserter(into);
    if (labels.empty())
    {
        fmt::format_to(end, "{} {}\n", name, value);
    }
    else
    {
        fmt::format_to(end, "{}{{{}}} {}\n", name, labels, value);
    }
}

void write(std::string& into, std::string_view name, std::string_view labels, counter const& one)
{
    write_sample(into, name, labels, fmt::format("{}", one.value));
}

void write(std::string& into, std::string_view name, std::string_view labels, gauge const& one)
{
    write_sample(into, name, labels, number(one.value));
}

void write(std::string& into, std::string_view name, std::string_view labels,
           latency_histogram const& one)
{
    auto const bucket = fmt::format("{}_bucket", name);
    auto const comma = labels.empty() ? "" : ",";
    for (auto const& [most_us, count] : cumulative_buckets(one))
    {
        auto const bound =
            fmt::format("{}{}le=\"{:.4g}\"", labels, comma, most_us / micros_per_second);
        write_sample(into, bucket, bound, fmt::format("{}", count));
    }
    auto const count = fmt::format("{}", one.count);
    write_sample(into, bucket, fmt::format("{}{}le=\"+Inf\"", labels, comma), count);
    write_sample(into, fmt::format("{}_sum", name), labels,
                 number(static_cast<double>(one.sum_us) / micros_per_second));
    write_sample(into, fmt::format("{}_count", name), labels, count);
}

template <class Series>
void write(std::string& into, metrics::families<Series> const& families, std::string_view type)
{
    for (auto const& [name, family] : families)
    {
        fmt::format_to(std::back_inserter(into), "# HELP {} {}\n# TYPE {} {}\n", name,
                       escape(family.help, false), name, type);
        for (auto const& [labels, one] : family.series)
        {
            write(into, name, labels, one);
        }
    }
}

} // namespace

counter& counter_at(metrics& in, metric_name<metric_kind::counter> name,
                    std::initializer_list<label> labels)
{
    return at(in.counters, name, labels);
}

gauge& gauge_at(metrics& in, metric_name<metric_kind::gauge> name,
                std::initializer_list<label> labels)
{
    return at(in.gauges, name, labels);
}

latency_histogram& latency_at(metrics& in, metric_name<metric_kind::latency> name,
                              std::initializer_list<label> labels)
{
    return at(in.latencies, name, labels);
}

std::string exposition(metrics const& of)
{
    std::string text;
    write(text, of.counters, "counter");
    write(text, of.gauges, "gauge");
    write(text, of.latencies, "histogram");
    return text;
}

} // namespace gooseberrywood::base
