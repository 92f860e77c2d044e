#include "chunked_bytes.hpp"

#include <fmt/format.h>

#include <glib.h>

#include <algorithm>
#include <memory>

using namespace std::string_view_literals;

namespace gooseberrywood::test
{

namespace
{

std::string pick(std::string_view choices, std::size_t most)
{
    auto const count = *rc::gen::inRange<std::size_t>(0, most + 1);
    std::string made;
    for (std::size_t i = 0; i < count; ++i)
    {
        made += choices[*rc::gen::inRange<std::size_t>(0, choices.size())];
    }
    return made;
}

std::string arbitrary_extension()
{
    auto const blank = []
    {
        return pick(" \t", 2);
    };
    std::string made = blank() + ";" + blank() + "n" + pick("aZ0-_.!~", 4);
    switch (*rc::gen::inRange(0, 3))
    {
    case 0:
        return made;
    case 1:
        return made + blank() + "=" + blank() + "v" + pick("aZ0x", 4);
    default:
        return made + blank() + "=" + blank() + "\"" + pick("a;=\t \xe9", 5) + "\\\"" + "\"";
    }
}

std::string arbitrary_size(std::size_t size)
{
    auto made = std::string(*rc::gen::inRange<std::size_t>(0, 4), '0');
    made += *rc::gen::arbitrary<bool>() ? fmt::format("{:x}", size) : fmt::format("{:X}", size);
    for (auto count = *rc::gen::inRange(0, 3); count > 0; --count)
    {
        made += arbitrary_extension();
    }
    return made + "\r\n";
}

} // namespace

rc::Gen<chunked_bytes> arbitrary_chunked()
{
    return rc::gen::exec(
        []
        {
            chunked_bytes made;
            for (auto count = *rc::gen::inRange(0, 5); count > 0; --count)
            {
                auto const data = "d" + pick("0ax\r\n;:5\0"sv, 40);
                made.body += data;
                made.sent += arbitrary_size(data.size()) + data + "\r\n";
            }
            made.sent += arbitrary_size(0);
            for (auto count = *rc::gen::inRange(0, 4); count > 0; --count)
            {
                made.sent += "T" + pick("aZ0-", 4) + ":" + pick("a0 \t;:\xe9", 6) + "\r\n";
            }
            made.sent += "\r\n";
            return made;
        });
}

rc::Gen<std::string> damaged(std::string text)
{
    return rc::gen::exec(
        [text = std::move(text)]
        {
            auto made = text;
            auto const at = *rc::gen::inRange<std::size_t>(0, made.size());
            auto const byte = *rc::gen::oneOf(rc::gen::arbitrary<char>(),
                                              rc::gen::elementOf(std::string("0aFx;=\" \r\n\t-:")));
            switch (*rc::gen::inRange(0, 5))
            {
            case 0:
                made[at] = byte;
                break;
            case 1:
                made.erase(at, 1);
                break;
            case 2:
                made.insert(at, 1, made[at]);
                break;
            case 3:
                made.insert(at, 1, byte);
                break;
            default:
                made.resize(at);
            }
            return made;
        });
}

rc::Gen<std::string> arbitrary_chunk_like()
{
    return rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("00012aF;=\"\\x: \t\r\r\r\n\n\n-")));
}

namespace
{

using regex = std::unique_ptr<GRegex, decltype(&g_regex_unref)>;

regex make_regex(std::string const& pattern)
{
    return {g_regex_new(pattern.c_str(), G_REGEX_RAW, GRegexMatchFlags(0), nullptr), g_regex_unref};
}

/// \returns the end of the group that matches at a position, or nothing.
std::optional<std::size_t> match_end(regex const& expression, std::string const& text,
                                     std::size_t at, int group)
{
    GMatchInfo* found = nullptr;
    bool const matches =
        g_regex_match_full(expression.get(), text.data(), static_cast<gssize>(text.size()),
                           static_cast<gint>(at), G_REGEX_MATCH_ANCHORED, &found, nullptr) != 0;
    std::unique_ptr<GMatchInfo, decltype(&g_match_info_free)> const owned(found, g_match_info_free);
    gint begin = 0;
    gint end = 0;
    return matches && g_match_info_fetch_pos(found, group, &begin, &end) != 0
               ? std::optional(static_cast<std::size_t>(end))
               : std::nullopt;
}

} // namespace

std::optional<parsed_chunks> parse_chunked(std::string_view text)
{
    static std::string const blanks = "[ \\t]*";
    static std::string const token = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    static std::string const quoted = "\"(?:[\\t \\x21\\x23-\\x5b\\x5d-\\x7e\\x80-\\xff]|"
                                      "\\\\[\\t \\x21-\\x7e\\x80-\\xff])*\"";
    static auto const size_line =
        make_regex("([0-9A-Fa-f]+)(?:" + blanks + ";" + blanks + token + "(?:" + blanks + "=" +
                   blanks + "(?:" + token + "|" + quoted + "))?)*\\r\\n");
    static auto const trailers =
        make_regex("(?:" + token + ":[\\t \\x21-\\x7e\\x80-\\xff]*\\r\\n)*\\r\\n");
    parsed_chunks parsed;
    std::string const copy(text);
    for (;;)
    {
        auto const line_end = match_end(size_line, copy, parsed.bytes, 0);
        if (!line_end)
        {
            return std::nullopt;
        }
        auto const digits_end = *match_end(size_line, copy, parsed.bytes, 1);
        auto digits = copy.substr(parsed.bytes, digits_end - parsed.bytes);
        digits.erase(0, std::min(digits.find_first_not_of('0'), digits.size()));
        constexpr std::size_t max_digits = 8;
        if (digits.size() > max_digits)
        {
            return std::nullopt;
        }
        auto const size = digits.empty() ? 0 : std::stoull(digits, nullptr, 16);
        parsed.bytes = *line_end;
        if (size == 0)
        {
            break;
        }
        if (copy.size() < parsed.bytes + size + 2 || copy.substr(parsed.bytes + size, 2) != "\r\n")
        {
            return std::nullopt;
        }
        parsed.body += copy.substr(parsed.bytes, size);
        parsed.bytes += size + 2;
    }
    auto const end = match_end(trailers, copy, parsed.bytes, 0);
    if (!end)
    {
        return std::nullopt;
    }
    parsed.bytes = *end;
    return parsed;
}

} // namespace gooseberrywood::test
