#ifndef GOOSEBERRYWOOD_BASE_METRIC_NAME_HPP
#define GOOSEBERRYWOOD_BASE_METRIC_NAME_HPP

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief What a metric measures.
enum class metric_kind : std::uint8_t
{
    counter,
    gauge,
    latency,
};

namespace detail
{

constexpr bool is_metric_word(std::string_view text)
{
    auto const fits = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
    };
    return !text.empty() && text.front() >= 'a' && text.front() <= 'z' &&
           std::all_of(text.begin(), text.end(), fits);
}

/// The name alone determines the kind, so that two places can't use one name for two kinds.
constexpr metric_kind kind_of_name(std::string_view name)
{
    if (name.ends_with("_total"))
    {
        return metric_kind::counter;
    }
    return name.ends_with("_seconds") ? metric_kind::latency : metric_kind::gauge;
}

/// The exposition of a histogram uses these endings.
constexpr bool has_reserved_ending(std::string_view name)
{
    return name.ends_with("_bucket") || name.ends_with("_sum") || name.ends_with("_count");
}

// Not constexpr: a call in a constant expression ends the compilation and names the rule broken.
void metric_name_must_be_snake_case();
void metric_name_ending_must_match_its_kind();
void metric_name_ending_is_reserved();
void label_name_must_be_snake_case_and_not_le();

} // namespace detail

/// \ingroup base
/// \brief Name and description of a metric, checked at compile time: snake_case, `_total` at the
/// end of counters, `_seconds` at the end of latencies, and neither at the end of gauges.
template <metric_kind Kind>
struct metric_name
{
    std::string_view name;
    std::string_view help;

    consteval metric_name(char const* text, char const* description) : name(text), help(description)
    {
        if (!detail::is_metric_word(name))
        {
            detail::metric_name_must_be_snake_case();
        }
        if (detail::kind_of_name(name) != Kind)
        {
            detail::metric_name_ending_must_match_its_kind();
        }
        if (detail::has_reserved_ending(name))
        {
            detail::metric_name_ending_is_reserved();
        }
    }
};

/// \ingroup base
/// \brief Name of a label, checked at compile time: snake_case and not `le`, which histograms use.
struct label_name
{
    std::string_view name;

    consteval label_name(char const* text) : name(text)
    {
        if (!detail::is_metric_word(name) || name == "le")
        {
            detail::label_name_must_be_snake_case_and_not_le();
        }
    }
};

} // namespace gooseberrywood::base

#endif
