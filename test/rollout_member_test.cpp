#include "rollout/member.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;

SCENARIO("a member entry is decoded as it was encoded")
{
    rollout::member const original{"edge-1", 77, "10.0.0.1:7660", 0.19, "zone-a"};
    auto const decoded = rollout::decode_member("edge-1", rollout::encode(original));
    REQUIRE(decoded.has_value());
    CHECK(decoded->host == "edge-1");
    CHECK(decoded->lease == 77);
    CHECK(decoded->peer_address == "10.0.0.1:7660");
    CHECK(decoded->processors == 0.19);
    CHECK(decoded->domain == "zone-a");
    CHECK(rollout::owner_id(decoded->host, decoded->lease) == "edge-1#77");
    WHEN("the text is not a member entry")
    {
        CHECK_FALSE(rollout::decode_member("edge-1", "edge-1#77").has_value());
        CHECK_FALSE(rollout::decode_member("edge-1", R"({"lease":"x"})").has_value());
    }
}
