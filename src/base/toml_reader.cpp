#include "base/toml_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace gooseberrywood::base
{

namespace
{

std::string_view type_name(toml::node const& node)
{
    switch (node.type())
    {
    case toml::node_type::table:
        return "a table";
    case toml::node_type::array:
        return "an array";
    case toml::node_type::string:
        return "a string";
    case toml::node_type::integer:
        return "an integer";
    case toml::node_type::floating_point:
        return "a floating-point number";
    case toml::node_type::boolean:
        return "a boolean";
    default:
        return "a date or time";
    }
}

toml::node const* find(toml_reader& from, std::string_view key, presence needed)
{
    from.known.emplace(key);
    auto const* node = from.table->get(key);
    if (node == nullptr && needed == presence::required)
    {
        add_fault(from, key, "is missing");
    }
    return node;
}

void add_type_fault(toml_reader const& from, std::string_view key, std::string_view wanted,
                    toml::node const& node)
{
    add_fault(from, key, fmt::format("must be {}, not {}", wanted, type_name(node)));
}

std::string seconds_text(duration time)
{
    return fmt::format("{}", static_cast<double>(time.count()) / 1e6);
}

constexpr bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

std::optional<std::int64_t> integer_from(std::string_view text)
{
    std::int64_t value = 0;
    auto const* end = text.data() + text.size();
    auto const [at, failure] = std::from_chars(text.data(), end, value);
    bool const valid =
        std::all_of(text.begin(), text.end(), is_digit) && failure == std::errc{} && at == end;
    return valid ? std::optional{value} : std::nullopt;
}

constexpr std::int64_t micros_per_second = 1'000'000;
constexpr std::size_t micros_digits = 6;

std::optional<duration> seconds(std::int64_t whole)
{
    constexpr auto most = std::numeric_limits<std::int64_t>::max() / micros_per_second - 1;
    bool const fits = whole >= -most && whole <= most;
    return fits ? std::optional{duration(whole * micros_per_second)} : std::nullopt;
}

std::optional<duration> seconds(std::string_view text)
{
    auto const dot = text.find('.');
    auto const whole = integer_from(text.substr(0, dot));
    std::string fraction(dot == std::string_view::npos ? "0" : text.substr(dot + 1));
    if (!whole || fraction.empty() || fraction.size() > micros_digits)
    {
        return std::nullopt;
    }
    fraction.resize(micros_digits, '0');
    auto const micros = integer_from(fraction);
    auto const time = seconds(*whole);
    return micros && time ? std::optional{*time + duration(*micros)} : std::nullopt;
}

std::optional<duration> seconds(toml::node const& node)
{
    if (auto const* integer = node.as_integer())
    {
        return seconds(integer->get());
    }
    auto const* text = node.as_string();
    return text != nullptr ? seconds(std::string_view(text->get())) : std::nullopt;
}

} // namespace

std::uint32_t line_of(toml_reader const& from, std::string_view key)
{
    auto const* node = from.table->get(key);
    return node != nullptr ? node->source().begin.line : from.table->source().begin.line;
}

void add_fault(toml_reader const& from, std::string_view key, std::string_view what)
{
    add_fault(*from.faults, line_of(from, key), from.path + std::string(key), what);
}

bool has(toml_reader const& from, std::string_view key)
{
    return from.table->contains(key);
}

void read(toml_reader& from, std::string_view key, std::string& into, presence needed)
{
    auto const* node = find(from, key, needed);
    if (node == nullptr)
    {
        return;
    }
    auto const* text = node->as_string();
    if (text == nullptr)
    {
        add_type_fault(from, key, "a string", *node);
    }
    else if (text->get().empty())
    {
        add_fault(from, key, "must not be empty");
    }
    else
    {
        into = text->get();
    }
}

void read(toml_reader& from, std::string_view key, bool& into, presence needed)
{
    auto const* node = find(from, key, needed);
    if (node == nullptr)
    {
        return;
    }
    if (auto const* value = node->as_boolean())
    {
        into = value->get();
    }
    else
    {
        add_type_fault(from, key, "a boolean", *node);
    }
}

void read(toml_reader& from, std::string_view key, std::vector<std::string>& into, presence needed)
{
    auto const* node = find(from, key, needed);
    if (node == nullptr)
    {
        return;
    }
    auto const* array = node->as_array();
    if (array == nullptr)
    {
        add_type_fault(from, key, "an array of strings", *node);
        return;
    }
    std::vector<std::string> values;
    std::size_t index = 0;
    for (auto const& element : *array)
    {
        auto const* text = element.as_string();
        auto const path = fmt::format("{}{}[{}]", from.path, key, index);
        ++index;
        if (text != nullptr && !text->get().empty())
        {
            values.push_back(text->get());
            continue;
        }
        add_fault(*from.faults, element.source().begin.line, path,
                  text != nullptr ? "must not be empty"
                                  : fmt::format("must be a string, not {}", type_name(element)));
    }
    into = std::move(values);
}

void read_seconds(toml_reader& from, std::string_view key, duration least, duration most,
                  duration& into, presence needed)
{
    auto const* node = find(from, key, needed);
    if (node == nullptr)
    {
        return;
    }
    auto const time = seconds(*node);
    if (!node->is_integer() && !node->is_string())
    {
        add_type_fault(from, key, "a number of seconds as integer or string", *node);
    }
    else if (!time || *time < least || *time > most)
    {
        add_fault(from, key,
                  fmt::format("must be {} to {} seconds, with at most six decimals",
                              seconds_text(least), seconds_text(most)));
    }
    else
    {
        into = *time;
    }
}

void read_decimal(toml_reader& from, std::string_view key, double least, double most, double& into,
                  presence needed)
{
    auto const* node = find(from, key, needed);
    if (node == nullptr)
    {
        return;
    }
    auto const number = node->value<double>();
    if (!node->is_number() || !number)
    {
        add_type_fault(from, key, "a number", *node);
    }
    else if (*number < least || *number > most)
    {
        add_fault(from, key, fmt::format("must be {} to {}, not {}", least, most, *number));
    }
    else
    {
        into = *number;
    }
}

void read_integer(toml_reader& from, std::string_view key, std::int64_t least, std::int64_t most,
                  std::int64_t& into, presence needed)
{
    auto const* node = find(from, key, needed);
    if (node == nullptr)
    {
        return;
    }
    auto const* number = node->as_integer();
    if (number == nullptr)
    {
        add_type_fault(from, key, "an integer", *node);
    }
    else if (number->get() < least || number->get() > most)
    {
        add_fault(from, key, fmt::format("must be {} to {}, not {}", least, most, number->get()));
    }
    else
    {
        into = number->get();
    }
}

void read_tables(toml_reader& from, std::string_view key,
                 std::function<void(toml_reader&)> const& read_one)
{
    auto const* node = find(from, key, presence::optional);
    if (node == nullptr)
    {
        return;
    }
    auto const* array = node->as_array();
    if (array == nullptr)
    {
        add_fault(from, key, fmt::format("must be an array of tables, [[{}]]", key));
        return;
    }
    std::size_t index = 0;
    for (auto const& element : *array)
    {
        auto const path = fmt::format("{}{}[{}]", from.path, key, index);
        ++index;
        if (auto const* table = element.as_table())
        {
            toml_reader one{table, path + ".", from.faults, {}};
            read_one(one);
            check_unknown_keys(one);
        }
        else
        {
            add_fault(*from.faults, element.source().begin.line, path,
                      fmt::format("must be a table, not {}", type_name(element)));
        }
    }
}

void check_unknown_keys(toml_reader const& from)
{
    for (auto const& [key, node] : *from.table)
    {
        if (!from.known.contains(key.str()))
        {
            add_fault(*from.faults, key.source().begin.line, from.path + std::string(key.str()),
                      "is unknown");
        }
    }
}

void check_distinct(toml_reader const& from, std::string_view key,
                    std::span<std::string const> values)
{
    std::set<std::string_view> seen;
    for (auto const& value : values)
    {
        if (!seen.insert(value).second)
        {
            add_fault(from, key, fmt::format("names \"{}\" twice", value));
        }
    }
}

bool is_name(std::string_view text)
{
    constexpr std::size_t longest_name = 64;
    return !text.empty() && text.size() <= longest_name &&
           std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                                  c == '.' || c == '-' || c == '_';
                       });
}

bool is_hex(std::string_view text, std::size_t digits)
{
    return text.size() == digits &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return is_digit(c) || (c >= 'a' && c <= 'f'); });
}

void read_name(toml_reader& from, std::string_view key, std::string& into, presence needed)
{
    auto const faults_before = from.faults->found.size();
    std::string text;
    read(from, key, text, needed);
    if (from.faults->found.size() != faults_before || text.empty())
    {
        return;
    }
    if (is_name(text))
    {
        into = std::move(text);
    }
    else
    {
        add_fault(from, key, "must be 1 to 64 letters, digits, dots, hyphens and underscores");
    }
}

} // namespace gooseberrywood::base
