#include "config.hpp"

#include "property.hpp"

#include <fmt/format.h>

using namespace gooseberrywood;

namespace
{

config::record sample_record(std::uint64_t version, std::string text)
{
    return {version, std::move(text), "signature", {"zabok"}};
}

} // namespace

SCENARIO("a record survives the store's form")
{
    GIVEN("a record with quotes and line ends")
    {
        auto const original = sample_record(7, "[[team]]\nname = \"zlatar\"\n");
        THEN("it is read as it was written")
        {
            CHECK(config::decode_record(*config::encode(original)) == original);
        }
        THEN("its update form is told apart from a delta")
        {
            auto const update = config::decode_update(*config::encode(original));
            REQUIRE(update.has_value());
            CHECK(std::get<config::record>(*update) == original);
        }
    }
    GIVEN("the head of a small and of a large change")
    {
        auto const from = sample_record(7, "a\n");
        auto const small = config::make_head(from, sample_record(8, "b\n"));
        auto const large = config::make_head(from, sample_record(8, std::string(9000, 'b')));
        THEN("both are read as they were written, and only the small one holds its delta")
        {
            CHECK(config::decode_head(*config::encode(small)) == small);
            CHECK(config::decode_head(*config::encode(large)) == large);
            CHECK_FALSE(small.delta.empty());
            CHECK(large.delta.empty());
            CHECK(config::record_key(small) != config::record_key(large));
            CHECK_FALSE(config::decode_head(R"({"version":0,"hash":1,"delta":""})").has_value());
        }
    }
    GIVEN("records that the store can't hold")
    {
        THEN("they are refused when they are encoded")
        {
            CHECK_FALSE(config::encode(sample_record(1, "\xff")).has_value());
            std::string const long_text(config::max_record_bytes, 'x');
            CHECK_FALSE(config::encode(sample_record(1, long_text)).has_value());
        }
    }
    GIVEN("hostile input")
    {
        // Guards against an exception or a deep recursion on input from the store or a peer.
        for (std::string const& text :
             {std::string(), std::string("null"), std::string("[]"), std::string("{}"),
              std::string("{\"version\":-1}"), std::string(500'000, '['),
              std::string(R"({"version":0,"bundle":"","signature":"","domains_out":[]})"),
              std::string(R"({"version":1,"bundle":"","signature":"","domains_out":[1]})"),
              std::string(R"({"version":1.5,"bundle":"","signature":"","domains_out":[]})")})
        {
            CAPTURE(text.substr(0, 80));
            CHECK_FALSE(config::decode_record(text).has_value());
            CHECK_FALSE(config::decode_update(text).has_value());
        }
    }
}

SCENARIO("a delta turns one record into the next")
{
    // Guards against a process that ends up with another text than the one that was signed.
    test::check_property(
        "any two texts of few different lines",
        [](std::vector<std::uint8_t> const& before, std::vector<std::uint8_t> const& after,
           bool ends)
        {
            auto const text = [&](std::vector<std::uint8_t> const& lines)
            {
                std::string made;
                for (auto const line : lines)
                {
                    made += fmt::format("line {}\n", line % 8);
                }
                return ends || made.empty() ? made : made.substr(0, made.size() - 1);
            };
            auto const from = sample_record(3, text(before));
            auto const to = sample_record(5, text(after));
            auto const change =
                config::decode_update(*config::encode(config::make_delta(from, to)));
            RC_ASSERT(change.has_value());
            RC_ASSERT(config::apply(from, config::record_hash(from),
                                    std::get<config::delta>(*change)) == to);
        });
}

SCENARIO("a delta is small and fits only the record that it starts from")
{
    GIVEN("a bundle of 1,000 teams in which one key is withdrawn")
    {
        std::string text;
        for (int team = 0; team < 1000; ++team)
        {
            text += fmt::format("[[team]]\nname = \"team-{}\"\nweight = 1\nkeys = [\"{:064}\"]\n\n",
                                team, team);
        }
        auto const from = sample_record(3, text);
        auto const key = fmt::format("keys = [\"{:064}\"]", 500);
        text.replace(text.find(key), key.size(), "keys = []");
        auto const to = sample_record(4, text);
        auto change = config::make_delta(from, to);
        auto const hash = config::record_hash(from);
        THEN("the delta is small")
        {
            CHECK(config::encode(change)->size() < 500);
        }
        THEN("it is refused for another record than the one it starts from")
        {
            auto other = from;
            other.domains_out.clear();
            auto const made = config::apply(other, config::record_hash(other), change);
            CHECK(made.error().code == base::result_code::version_conflict);
        }
        THEN("a damaged one is refused")
        {
            change.edits.front().copy_bytes -= 1;
            CHECK(config::apply(from, hash, change).error().code ==
                  base::result_code::bundle_invalid);
            change.edits.front().copy_bytes = ~std::uint64_t{0};
            CHECK(config::apply(from, hash, change).error().code ==
                  base::result_code::bundle_invalid);
        }
    }
}

SCENARIO("peers that are behind are answered with deltas, or with the whole record")
{
    GIVEN("a process that has gone from version 1 to 5")
    {
        auto const at = [](std::uint64_t version)
        {
            std::string text(2000, 'x');
            return sample_record(version, text + fmt::format("\nversion {}\n", version));
        };
        config::history past;
        for (std::uint64_t version = 1; version < 5; ++version)
        {
            config::changed(past, at(version), at(version + 1));
        }
        THEN("a peer at version 3 gets two deltas and ends up with the same record")
        {
            auto const contents = config::answer(past, at(5), 3);
            REQUIRE(contents.has_value());
            REQUIRE(contents->size() == 2);
            auto held = at(3);
            for (auto const& content : *contents)
            {
                held =
                    *config::apply(held, config::record_hash(held), *config::decode_delta(content));
            }
            CHECK(held == at(5));
        }
        THEN("a peer without a version, or with an unknown one, gets the whole record")
        {
            for (std::uint64_t const above : {0, 1})
            {
                config::history const known = above == 0 ? past : config::history{};
                auto const contents = config::answer(known, at(5), above);
                REQUIRE(contents->size() == 1);
                CHECK(config::decode_record(contents->front()) == at(5));
            }
        }
        THEN("a peer that is not behind gets nothing")
        {
            CHECK(config::answer(past, at(5), 5)->empty());
            CHECK(config::answer(past, at(5), 9)->empty());
        }
    }
}
