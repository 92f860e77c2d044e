#include "base/toml_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace gooseberrywood::base
{

namespace
{

// Keys and parser messages may contain any character; a control character would break the rule of
// one line for each fault.
std::string on_one_line(std::string_view text)
{
    std::string line;
    for (char const c : text)
    {
        auto const byte = static_cast<unsigned char>(c);
        line += byte < 0x20 || byte == 0x7f ? fmt::format("\\x{:02x}", byte) : std::string(1, c);
    }
    return line;
}

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

// toml++ builds and destroys nested tables recursively and limits the nesting of values, but not
// the number of parts of a dotted key: a line of 450,000 dots overflowed the stack. Settings and
// bundles need no dotted keys at all.
constexpr int max_key_dots = 16;

bool may_stand_between_dots(char c)
{
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' ||
           c == '-' || c == ' ' || c == '\t';
}

/// \param text begins with a quotation mark.
/// \returns the length of the string or quoted key at the beginning of the text.
std::size_t quoted_length(std::string_view text)
{
    char const quote = text.front();
    bool const has_escapes = quote == '"';
    std::string const triple(3, quote);
    bool const multi_line = text.starts_with(triple);
    std::size_t at = multi_line ? triple.size() : 1;
    while (at < text.size())
    {
        if (has_escapes && text[at] == '\\')
        {
            at += 2;
        }
        else if (multi_line && text.substr(at).starts_with(triple))
        {
            at += triple.size();
            // The text may itself end in up to two quotation marks.
            for (int extra = 0; extra < 2 && at < text.size() && text[at] == quote; ++extra)
            {
                ++at;
            }
            return at;
        }
        else if (!multi_line && (text[at] == quote || text[at] == '\n'))
        {
            return at + 1;
        }
        else
        {
            ++at;
        }
    }
    return text.size();
}

/// \returns the line of the first dotted key with too many parts.
std::optional<std::uint32_t> line_of_deep_key(std::string_view text)
{
    int dots = 0;
    for (std::size_t at = 0; at < text.size();)
    {
        char const c = text[at];
        if (c == '"' || c == '\'')
        {
            at += quoted_length(text.substr(at));
            continue;
        }
        if (c == '#')
        {
            at = std::min(text.find('\n', at), text.size());
            continue;
        }
        dots = c == '.' ? dots + 1 : (may_stand_between_dots(c) ? dots : 0);
        if (dots > max_key_dots)
        {
            auto const lines = std::count(text.begin(), text.begin() + static_cast<long>(at), '\n');
            return static_cast<std::uint32_t>(lines + 1);
        }
        ++at;
    }
    return std::nullopt;
}

} // namespace

void add_fault(toml_faults& faults, std::uint32_t line, std::string_view key, std::string_view what)
{
    faults.found.push_back({std::max(line, 1U), on_one_line(fmt::format("{}: {}", key, what))});
}

std::uint32_t line_of(toml_reader const& from, std::string_view key)
{
    auto const* node = from.table->get(key);
    return node != nullptr ? node->source().begin.line : from.table->source().begin.line;
}

void add_fault(toml_reader const& from, std::string_view key, std::string_view what)
{
    add_fault(*from.faults, line_of(from, key), from.path + std::string(key), what);
}

error to_error(toml_faults faults, result_code code)
{
    std::stable_sort(faults.found.begin(), faults.found.end(),
                     [](auto const& a, auto const& b) { return a.line < b.line; });
    std::string message;
    for (auto const& fault : faults.found)
    {
        message += message.empty() ? "" : "\n";
        message += fmt::format("{}:{}: {}", faults.file, fault.line, fault.text);
    }
    return {code, std::move(message)};
}

std::optional<toml::table> parse_toml(std::string_view text, toml_faults& faults)
{
    if (auto const line = line_of_deep_key(text))
    {
        add_fault(faults, *line, "TOML", fmt::format("a key has more than {} dots", max_key_dots));
        return std::nullopt;
    }
    try
    {
        return toml::parse(text);
    }
    catch (toml::parse_error const& failure)
    {
        add_fault(faults, failure.source().begin.line, "TOML", failure.description());
        return std::nullopt;
    }
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
