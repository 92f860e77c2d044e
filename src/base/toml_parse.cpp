#include "base/toml_reader.hpp"

#include <fmt/format.h>
#include <glib.h>

#include <algorithm>
#include <optional>
#include <utility>

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

// toml++ builds and destroys nested tables recursively and limits the nesting of values, but not
// the number of parts of a dotted key: a line of 450,000 dots overflowed the stack. Settings and
// bundles need no dotted keys at all.
constexpr int max_key_dots = 16;

bool may_stand_between_dots(char c)
{
    return g_ascii_isalnum(c) != 0 || c == '_' || c == '-' || c == ' ' || c == '\t';
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

} // namespace gooseberrywood::base
