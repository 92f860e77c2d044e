#include "at_ms.hpp"
#include "gateway/unreadable_entries.hpp"
#include "platform/platform.hpp"
#include "property.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view good_entry =
    R"({"service":"s","address":"10.0.0.9:80","zone":"krapina","version":"v1","slots":8,)"
    R"("state":"ready","cold_remaining_ms":0,"models":[{"name":"m","version":3}],)"
    R"("seq":4,"born":17})";

constexpr std::size_t very_deep = 1'000'000;

/// The good entry with one piece replaced.
std::string with(std::string_view piece, std::string_view replacement)
{
    std::string text(good_entry);
    auto const at = text.find(piece);
    REQUIRE(at != std::string::npos);
    return text.replace(at, piece.size(), replacement);
}

std::string nested(std::size_t depth, char open, char close)
{
    return std::string(depth, open) + std::string(depth, close);
}

/// Contents that name no upstream.
std::vector<std::string> odd_contents()
{
    std::vector<std::string> odd = {
        "",
        "null",
        "[]",
        "{}",
        "17",
        std::string("\xFF\xFE\x00\x80", 4),
        std::string(good_entry.substr(0, good_entry.size() / 2)),
        with("\"s\"", "\"\xFF\""),
        std::string(70'000, ' ') + std::string(good_entry),
        nested(very_deep, '[', ']'),
        std::string(very_deep, '['),
        std::string(100'000, '{'),
        R"({"x":)" + nested(very_deep, '[', ']') + "}",
        with("\"s\"", nested(1000, '[', ']')),
        with("{\"name\":\"m\",\"version\":3}", nested(1000, '[', ']')),
        with("3}]", "3}," + nested(100'000, '[', ']') + "]"),
    };
    using replacement = std::pair<std::string_view, std::string_view>;
    for (auto const& [piece, instead] : std::vector<replacement>{
             {"\"slots\":8", "\"slots\":0"},
             {"\"slots\":8", "\"slots\":-1"},
             {"\"slots\":8", "\"slots\":8.5"},
             {"\"slots\":8", "\"slots\":\"8\""},
             {"\"slots\":8", "\"slots\":1e400"},
             {"\"slots\":8", "\"slots\":2147483648"},
             {"\"slots\":8", "\"slots\":4294967304"},
             {"\"slots\":8", "\"slots\":18446744073709551615"},
             {"\"slots\":8", "\"slots\":99999999999999999999999"},
             {"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":1e300"},
             {"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":1e400"},
             {"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":9223372036854775807"},
             {"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":18446744073709551615"},
             {"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":NaN"},
             {"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":null"},
             {"\"born\":17", "\"born\":-17"},
             {"\"born\":17", "\"born\":17.5"},
             {"\"born\":17", "\"born\":1e300"},
             {"\"born\":17", "\"born\":18446744073709551615"},
             {"\"born\":17", "\"born\":\"17\""},
             {"\"version\":3", "\"version\":4294967295"},
             {"\"version\":3", "\"version\":4294967299"},
             {"\"version\":3", "\"version\":-3"},
             {"\"version\":3", "\"version\":3.5"},
             {"\"models\":[", "\"models\":{}, \"x\":["},
             {"10.0.0.9:80", "10.0.0.9"},
             {"10.0.0.9:80", "10.0.0.9:"},
             {"10.0.0.9:80", "10.0.0.9:0"},
             {"10.0.0.9:80", "10.0.0.9:-1"},
             {"10.0.0.9:80", "10.0.0.9:65536"},
             {"10.0.0.9:80", "10.0.0.9:65616"},
             {"10.0.0.9:80", "10.0.0.9:99999999999999999999"},
             {"10.0.0.9:80", "10.0.0.9:80/x"},
             {"10.0.0.9:80", "10.0.0.9\\u0000:80"},
             {"10.0.0.9:80", "10.0.0.256:80"},
             {"10.0.0.9:80", "0.0.0.0:80"},
             {"10.0.0.9:80", "224.0.0.1:80"},
             {"10.0.0.9:80", "[::]:80"},
             {"10.0.0.9:80", "[ff02::1]:80"},
             {"10.0.0.9:80", "::1:80"},
             {"10.0.0.9:80", "[::1]"},
             {"10.0.0.9:80", "host.example:80"},
             {"10.0.0.9:80", "user@10.0.0.9:80"},
             {"10.0.0.9:80", ""},
             {"\"10.0.0.9:80\"", "80"},
             {"\"ready\"", "\"READY\""},
             {"\"ready\"", "true"},
             {"\"krapina\"", "7"},
             {"\"v1\"", "1"},
         })
    {
        odd.push_back(with(piece, instead));
    }
    return odd;
}

/// Keys that hold no id which could be sent to an upstream.
std::vector<std::string> odd_keys()
{
    using namespace std::string_literals;
    return {"servers/",      "servers/a b",  "servers/a\r\nTeam: x",
            "servers/a\0b"s, "servers/\x7F", "servers/\xC5\xBE",
            "servers/\xFF",  "server",       "",
            "op/config"};
}

store::item good_item(std::string const& id, std::uint64_t revision = 1)
{
    return {"servers/" + id, std::string(good_entry), revision};
}

} // namespace

SCENARIO("an odd entry of another writer names no upstream, and the good ones beside it hold")
{
    // Guards against processes that end, and against requests to upstreams that don't exist.
    GIVEN("a list with one odd entry between two good ones")
    {
        auto const check_skipped = [](store::item const& odd)
        {
            CAPTURE(odd.key);
            CAPTURE(odd.value.substr(0, 300));
            std::vector<platform::unreadable_entry> skipped;
            auto const decoded = platform::decode_upstreams(
                std::vector{good_item("a"), odd, good_item("z")}, at_ms(100), &skipped);
            REQUIRE(decoded.size() == 2);
            CHECK(decoded[0].id == "a");
            CHECK(decoded[1].id == "z");
            CHECK(decoded[1].weights.at("m") == 3);
            REQUIRE(skipped.size() == 1);
            CHECK(skipped[0].key == odd.key);
            CHECK(skipped[0].revision == odd.revision);
            CHECK_FALSE(skipped[0].reason.empty());
        };
        WHEN("its content is odd")
        {
            for (auto const& content : odd_contents())
            {
                check_skipped({"servers/odd", content, 7});
            }
        }
        WHEN("its key is odd")
        {
            for (auto const& key : odd_keys())
            {
                check_skipped({key, std::string(good_entry), 7});
            }
        }
    }
    GIVEN("an entry that is unusual but can be read")
    {
        auto const decode = [](std::string const& content)
        {
            return platform::decode_upstreams(std::vector{store::item{"servers/u", content, 1}},
                                              at_ms(100));
        };
        using replacement = std::pair<std::string_view, std::string_view>;
        for (auto const& [piece, instead] : std::vector<replacement>{
                 {"10.0.0.9:80", "[2001:db8::1]:65535"},
                 {"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":-1e300"},
                 {"\"seq\":4", "\"seq\":1e300"},
                 {"\"seq\":4", "\"seq\":4,\"seq\":[]"},
                 {"\"seq\":4", "\"note\":[[[{}]]]"},
                 {"\"born\":17", "\"x\":1"},
                 {"\"s\"", "\"a service that nobody named\""},
                 {"\"s\"", "\"\\r\\n\""},
                 {"\"v1\"", "\"\\u0000\""},
             })
        {
            auto const content = with(piece, instead);
            CAPTURE(content);
            CHECK(decode(content).size() == 1);
        }
        THEN("a start time that is written as a fraction of zero is whole")
        {
            auto const decoded = decode(with("\"born\":17", "\"born\":1765000000000.0"));
            REQUIRE(decoded.size() == 1);
            CHECK(decoded[0].started_ms == 1'765'000'000'000);
        }
        THEN("the longest cold time is a point in time")
        {
            auto const decoded =
                decode(with("\"cold_remaining_ms\":0", "\"cold_remaining_ms\":86400000"));
            REQUIRE(decoded.size() == 1);
            CHECK(decoded[0].cold_until == at_ms(100) + 24h);
        }
    }
}

SCENARIO("no change of an entry harms the entries beside it")
{
    test::check_property(
        "good entries beside a changed one hold",
        []
        {
            std::string text(good_entry);
            auto const changes = *rc::gen::inRange(1, 6);
            for (int i = 0; i < changes; ++i)
            {
                auto const at = *rc::gen::inRange<std::size_t>(0, text.size());
                auto const piece =
                    *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                                    rc::gen::element<std::string>("[", "]", "{", "}", "\"", "\\",
                                                                  "9999999999", "e999", "-", ".5"));
                auto const replaced = *rc::gen::inRange<std::size_t>(0, 4);
                text.replace(at, std::min(replaced, text.size() - at), piece);
                RC_PRE(!text.empty());
            }
            auto const decoded = platform::decode_upstreams(
                std::vector{good_item("a"), store::item{"servers/odd", text, 2}, good_item("z")},
                at_ms(100));
            RC_ASSERT(decoded.size() >= 2U);
            RC_ASSERT(decoded.front().id == "a");
            RC_ASSERT(decoded.back().id == "z");
            for (auto const& record : decoded)
            {
                RC_ASSERT(record.slots > 0U);
                RC_ASSERT(record.started_ms >= 0);
                RC_ASSERT(record.cold_until <= at_ms(100) + 24h);
            }
        });
    test::check_property(
        "an entry that nests values to any depth is skipped or read",
        []
        {
            auto const depth = *rc::gen::inRange<std::size_t>(0, 30'000);
            bool const is_array = *rc::gen::arbitrary<bool>();
            bool const is_closed = *rc::gen::arbitrary<bool>();
            std::string const open = is_array ? "[" : R"({"a":)";
            std::string const close = is_array ? "]" : "}";
            std::string value;
            for (std::size_t i = 0; i < depth; ++i)
            {
                value += open;
            }
            value += "1";
            for (std::size_t i = 0; is_closed && i < depth; ++i)
            {
                value += close;
            }
            std::string text(good_entry);
            text.replace(text.find('4'), 1, value);
            auto const decoded = platform::decode_upstreams(
                std::vector{good_item("a"), store::item{"servers/odd", text, 2}, good_item("z")},
                at_ms(100));
            RC_ASSERT(decoded.front().id == "a");
            RC_ASSERT(decoded.back().id == "z");
        });
}

SCENARIO("an unreadable entry is logged once for each change")
{
    // Guards against a log that an odd entry fills at each read.
    gateway::unreadable_entries known;
    auto const due = [&](std::vector<platform::unreadable_entry> const& found, base::mono_time now)
    {
        return gateway::note_unreadable(known, found, now).size();
    };
    platform::unreadable_entry const odd{"servers/odd", 7, "odd"};
    platform::unreadable_entry const changed{"servers/odd", 8, "odd"};
    CHECK(due({odd}, at_ms(0)) == 1);
    WHEN("it is read again")
    {
        THEN("it is not logged again, however late")
        {
            CHECK(due({odd}, at_ms(400)) == 0);
            CHECK(due({odd}, at_ms(100'000)) == 0);
        }
    }
    WHEN("it changes at each read")
    {
        THEN("it is logged each ten seconds")
        {
            std::size_t lines = 0;
            for (std::uint64_t i = 0; i < 100; ++i)
            {
                lines += due({{"servers/odd", 8 + i, "odd"}},
                             at_ms(400 * static_cast<std::int64_t>(i + 1)));
            }
            CHECK(lines == 4);
        }
    }
    WHEN("it goes and another one comes")
    {
        CHECK(due({}, at_ms(400)) == 0);
        THEN("nothing is kept of it")
        {
            CHECK(known.logged.empty());
            CHECK(due({changed}, at_ms(800)) == 1);
        }
    }
    WHEN("there are very many of them")
    {
        std::vector<platform::unreadable_entry> many;
        many.reserve(5000);
        for (int i = 0; i < 5000; ++i)
        {
            many.push_back({fmt::format("servers/{}", i), 9, "odd"});
        }
        THEN("the lines and the memory are limited")
        {
            CHECK(due(many, at_ms(400)) == 50);
            CHECK(known.logged.size() == 50);
        }
    }
}
