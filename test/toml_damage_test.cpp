#include "base/file.hpp"
#include "bundle.hpp"
#include "settings.hpp"

#include "property.hpp"
#include "test_files.hpp"

#include <algorithm>
#include <string>
#include <vector>

using namespace gooseberrywood;

namespace
{

/// One change of a text: a few bytes are replaced by some that mean something in TOML or by any.
struct damage
{
    std::size_t at = 0;
    std::size_t removed = 0;
    std::string added;
};

rc::Gen<damage> any_damage()
{
    auto const meaningful = rc::gen::element<std::string>(
        "\"", "\"\"\"", "'", "'''", "\n", "=", "[", "]", "[[", "]]", "{", "}", ".", ",", "#", "\\",
        "-", "0", "18446744073709551616", "1e999", "nan", "true", "1979-05-27", "\\uD800",
        std::string(1, '\0'), "\xff", "\xEF\xBB\xBF", "\r", "version = 2\n", "[[teams]]\n",
        "[routes]\n", "name = \"a\"\n", std::string(300, '['), "a.b.c = 1\n");
    return rc::gen::build<damage>(
        rc::gen::set(&damage::at, rc::gen::inRange<std::size_t>(0, 8192)),
        rc::gen::set(&damage::removed, rc::gen::inRange<std::size_t>(0, 40)),
        rc::gen::set(&damage::added, rc::gen::oneOf(meaningful, rc::gen::string<std::string>())));
}

std::string damaged(std::string text, std::vector<damage> const& all)
{
    for (auto const& one : all)
    {
        auto const at = one.at % (text.size() + 1);
        text.replace(at, std::min(one.removed, text.size() - at), one.added);
    }
    return text;
}

/// Whether each line has the form `file:line: key: what is wrong` with an existing line.
bool has_place_in_each_line(std::string const& message, std::string const& text)
{
    auto const last_line = std::count(text.begin(), text.end(), '\n') + 1;
    std::string_view rest = message;
    while (true)
    {
        auto const line = rest.substr(0, rest.find('\n'));
        if (!line.starts_with("f:"))
        {
            return false;
        }
        auto const digits = line.find_first_not_of("0123456789", 2);
        bool const placed = digits > 2 && line.substr(digits).starts_with(": ") &&
                            line.find(": ", digits + 2) != std::string_view::npos;
        auto const number = placed ? std::stol(std::string(line.substr(2, digits - 2))) : 0;
        if (number < 1 || number > last_line)
        {
            return false;
        }
        if (line.size() == rest.size())
        {
            return true;
        }
        rest.remove_prefix(line.size() + 1);
    }
}

template <class Parse>
void check_damage(std::string const& file, Parse parse)
{
    auto const text = base::read_file(test::source_path(file));
    REQUIRE(text.has_value());
    test::check_property(
        "damaged " + file,
        [&]
        {
            auto const changed =
                damaged(*text, *rc::gen::container<std::vector<damage>>(any_damage()));
            auto const read = parse(changed, "f");
            RC_CLASSIFY(read.has_value(), "still valid");
            // RC_ASSERT evaluates both sides of ||.
            bool const placed =
                read.has_value() || has_place_in_each_line(read.error().message, changed);
            RC_ASSERT(placed);
        });
}

} // namespace

SCENARIO("a damaged file gives a value or an error with a line")
{
    // Guards against crashes, hangs and errors without a place in whatever an editor or a broken
    // transfer makes of a file; run under AddressSanitizer.
    check_damage("examples/zagorje.toml", bundle::parse);
    check_damage("examples/huella-unida.toml", bundle::parse);
    check_damage("examples/entry.toml", settings::parse);
    check_damage("examples/agent.toml", settings::parse);
}

SCENARIO("any bytes give a value or an error with a line")
{
    test::check_property("any text",
                         [](std::string const& text)
                         {
                             auto const read = bundle::parse(text, "f");
                             RC_ASSERT_FALSE(read.has_value());
                             RC_ASSERT(has_place_in_each_line(read.error().message, text));
                         });
}
