#include "config.hpp"

#include "property.hpp"

#include <fmt/format.h>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

base::mono_time const start{1h};

/// Texts of the form "bundle N" signed with "ok".
base::result<config::signed_bundle> verify(std::string_view text, std::string_view signature)
{
    if (signature != "ok")
    {
        return base::fail(base::result_code::signature_invalid, "signature");
    }
    return config::signed_bundle{std::stoull(std::string(text.substr(7))), {"zabok"}};
}

config::record at(std::uint64_t version, std::uint64_t bundle)
{
    return {version, fmt::format("bundle {}", bundle), "ok", {}};
}

config::peer_frame from(std::string host, std::uint64_t version)
{
    return {std::move(host), "zabok", version, 0, {}, config::standing::none, start};
}

} // namespace

SCENARIO("only newer and signed configurations come into effect")
{
    GIVEN("a process with version 5 and bundle 3")
    {
        auto held = config::start_in_force(verify);
        REQUIRE(config::offer(held, at(5, 3), start) == true);
        THEN("the same again changes nothing")
        {
            CHECK(config::offer(held, at(5, 3), start) == false);
        }
        THEN("older, forged and conflicting ones are refused")
        {
            auto forged = at(6, 4);
            forged.bundle_signature = "forged";
            CHECK(config::offer(held, at(4, 3), start).error().code ==
                  base::result_code::version_too_old);
            CHECK(config::offer(held, forged, start).error().code ==
                  base::result_code::signature_invalid);
            CHECK(config::offer(held, at(5, 4), start).error().code ==
                  base::result_code::version_conflict);
            CHECK(config::version(held) == 5);
        }
        THEN("a recorded older bundle under a newer version is refused")
        {
            // Guards against a withdrawn key that comes back with an old, rightly signed text.
            CHECK(config::offer(held, at(6, 2), start).error().code ==
                  base::result_code::version_too_old);
        }
        THEN("a domain is taken out without a new bundle")
        {
            auto out = at(6, 3);
            out.domains_out = {"zabok"};
            CHECK(config::offer(held, out, start) == true);
        }
    }
}

SCENARIO("offers in any order never lower a version")
{
    // Guards against a configuration that reverts when answers arrive late or crossed.
    test::check_property("versions only rise",
                         [](std::vector<std::pair<std::uint8_t, std::uint8_t>> const& offers)
                         {
                             auto held = config::start_in_force(verify);
                             for (auto const& [version, bundle] : offers)
                             {
                                 auto const before =
                                     std::pair(config::version(held), held.bundle.version);
                                 (void)config::offer(held, at(version, bundle), start);
                                 RC_ASSERT(config::version(held) >= before.first);
                                 RC_ASSERT(held.bundle.version >= before.second);
                             }
                         });
}

SCENARIO("a process that is behind asks its peers")
{
    GIVEN("a process with version 5 and peers with 4, 6 and 7")
    {
        auto held = config::start_in_force(verify);
        REQUIRE(config::offer(held, at(5, 3), start) == true);
        config::heard(held, from("a", 4));
        CHECK_FALSE(config::next_request(held, start).has_value());
        config::heard(held, from("b", 6));
        config::heard(held, from("c", 7));
        CHECK(config::highest_known(held) == 7);
        auto const first = config::next_request(held, start);
        REQUIRE(first.has_value());
        CHECK(first->above_version == 5);
        THEN("one request waits at a time, and a lost one is repeated elsewhere in the end")
        {
            CHECK_FALSE(config::next_request(held, start + 999ms).has_value());
            std::set<std::string> asked;
            for (auto now = start; now < start + 20s; now += 1s)
            {
                if (auto const next = config::next_request(held, now))
                {
                    asked.insert(next->host);
                }
            }
            CHECK(asked == std::set<std::string>{"b", "c"});
        }
        THEN("a delta that does not fit leads to a request for the whole record")
        {
            auto const wrong = config::make_delta(at(4, 3), at(6, 4));
            CHECK_FALSE(config::offer(held, wrong, start).has_value());
            CHECK(config::next_request(held, start)->above_version == 0);
            REQUIRE(config::offer(held, at(6, 4), start) == true);
            CHECK(config::next_request(held, start)->above_version == 6);
        }
        THEN("an announced change is taken once a peer has it, and another one is not")
        {
            auto const to = at(6, 4);
            config::intent said{{6, config::record_hash(to)},
                                "operator",
                                false,
                                *config::encode(config::make_delta(at(4, 3), to))};
            CHECK(config::offer(held, said, start) == false);
            CHECK_FALSE(held.want_whole);
            said.content = *config::encode(config::make_delta(at(5, 3), to));
            ++said.what.hash;
            CHECK(config::offer(held, said, start) == false);
            --said.what.hash;
            CHECK(config::offer(held, said, start) == true);
            said.content = "not a delta";
            CHECK_FALSE(config::offer(held, said, start).has_value());
        }
        THEN("peers that have gone are not asked")
        {
            config::disconnected(held, "b");
            config::disconnected(held, "c");
            CHECK_FALSE(config::next_request(held, start + 1s).has_value());
        }
    }
}
