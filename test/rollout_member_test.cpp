#include "rollout/member.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;

SCENARIO("what a process says of itself is read back as it was")
{
    rollout::member const said{"edge-1", 77, "10.0.0.1:7660", 0.19, "zone-a"};
    auto const read = rollout::decode_member("edge-1", rollout::encode(said));
    REQUIRE(read.has_value());
    CHECK(read->host == "edge-1");
    CHECK(read->lease == 77);
    CHECK(read->peer_address == "10.0.0.1:7660");
    CHECK(read->processors == 0.19);
    CHECK(read->domain == "zone-a");
    CHECK(rollout::owner_id(read->host, read->lease) == "edge-1#77");
    WHEN("the text is of another kind")
    {
        CHECK_FALSE(rollout::decode_member("edge-1", "edge-1#77").has_value());
        CHECK_FALSE(rollout::decode_member("edge-1", R"({"lease":"x"})").has_value());
    }
}
