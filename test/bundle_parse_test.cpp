#include "base/hash.hpp"
#include "bundle.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

std::string const head = "version = 3\ndeployment = \"zagorje\"\ndomains = [\"krapina\"]\n";

std::string faults_of(std::string const& text)
{
    auto const read = bundle::parse(text, "b");
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().code == base::result_code::bundle_invalid);
    return read.error().message;
}

} // namespace

SCENARIO("a bundle is read with its defaults")
{
    auto const text = head + fmt::format(R"(
[[routes]]
name = "planner-lm"
kind = "model"
warm_up_s = "0.25"
[[routes]]
name = "shop"
kind = "service"
path_prefix = "/shop"
open = true
open_team = "walk-ins"
[[routes]]
name = "shop-stock"
kind = "service"
path_prefix = "/shop/stock"
[[teams]]
name = "lepoglava"
key_hashes = ["{}"]
routes = ["planner-lm"]
[[teams]]
name = "walk-ins"
[[trainers]]
name = "t"
team = "lepoglava"
route = "planner-lm"
)",
                                         base::sha256_hex("k"));
    auto const read = bundle::parse(text, "b");
    REQUIRE_MESSAGE(read.has_value(), read.error().message);
    CHECK(read->version == 3);
    CHECK(read->routes[0].warm_up == 250ms);
    CHECK(read->routes[0].timeout == 120s);
    CHECK(read->trainers[0].max_staleness_versions == 1);

    THEN("a key finds its team by hash alone")
    {
        CHECK(find_team_by_key(*read, base::sha256_hex("k")) == &read->teams[0]);
        CHECK(find_team_by_key(*read, base::sha256_hex("K")) == nullptr);
    }
    THEN("a team uses its routes and the open ones")
    {
        CHECK(may_use(read->teams[0], read->routes[0]));
        CHECK(may_use(read->teams[0], read->routes[1]));
        CHECK_FALSE(may_use(read->teams[0], read->routes[2]));
        CHECK(may_use(read->teams[1], read->routes[2]));
    }
    THEN("the longest prefix that ends at a slash wins")
    {
        // Guards against /shopping being served by the shop.
        CHECK(find_service(*read, "/shopping") == nullptr);
        CHECK(find_service(*read, "/shop") == &read->routes[1]);
        CHECK(find_service(*read, "/shop?a=/stock") == &read->routes[1]);
        CHECK(find_service(*read, "/shop/stock/7") == &read->routes[2]);
    }
}

SCENARIO("all faults of a bundle are reported at once")
{
    GIVEN("dangling references, duplicate names and values out of range")
    {
        auto const message = faults_of(head + R"([[teams]]
name = "a"
weight = 0
key_hashes = ["secret-key", 4]
routes = ["nowhere"]
[[teams]]
name = "a"
[[routes]]
name = "r"
kind = "service"
path_prefix = "/r/../x"
open = true
open_team = "nobody"
fresh_limit = 9
idempotent_methods = ["get"]
timeout_s = 1.5
colour = "red"
[[trainers]]
name = "t"
team = "nobody"
route = "r"
)");
        THEN("each has its line and key, and nobody's key is repeated")
        {
            CHECK(message ==
                  "b:6: teams[0].weight: must be 1 to 1000000, not 0\n"
                  "b:7: teams[0].key_hashes[1]: must be a string, not an integer\n"
                  "b:7: teams[0].key_hashes[0]: must be a SHA-256 as 64 lower-case hexadecimal "
                  "digits\n"
                  "b:8: teams[0].routes: there is no route \"nowhere\"\n"
                  "b:10: teams[1].name: \"a\" is used twice\n"
                  "b:14: routes[0].path_prefix: must be a path such as /stock, without a / at its "
                  "end, dot segments, escapes or query\n"
                  "b:16: routes[0].open_team: there is no team \"nobody\"\n"
                  "b:17: routes[0].fresh_limit: 9 is above max_limit 8\n"
                  "b:18: routes[0].idempotent_methods: \"get\" is not an HTTP method in capital "
                  "letters\n"
                  "b:19: routes[0].timeout_s: must be a number of seconds as integer or string, "
                  "not a floating-point number\n"
                  "b:20: routes[0].colour: is unknown\n"
                  "b:23: trainers[0].team: there is no team \"nobody\"\n"
                  "b:24: trainers[0].route: route \"r\" is not of kind model");
        }
    }
    GIVEN("one key held by two teams")
    {
        // Guards against a request being charged to whichever team happens to be listed first.
        auto const hash = base::sha256_hex("k");
        auto const message = faults_of(
            head + fmt::format("[[teams]]\nname = \"a\"\nkey_hashes = [\"{0}\"]\n[[teams]]\n"
                               "name = \"b\"\nkey_hashes = [\"{0}\"]\n",
                               hash));
        CHECK(message == "b:9: teams[1].key_hashes[0]: is used twice; team \"a\" holds it already");
    }
    GIVEN("an empty text")
    {
        CHECK(faults_of("") == "b:1: version: is missing\nb:1: deployment: is missing\n"
                               "b:1: domains: is missing");
    }
}

SCENARIO("times are exact to the microsecond")
{
    auto const timeout_of = [](std::string const& value)
    {
        auto const read = bundle::parse(
            head + "[[routes]]\nname = \"r\"\nkind = \"model\"\ntimeout_s = " + value, "b");
        return read ? std::optional{read->routes[0].timeout} : std::nullopt;
    };
    CHECK(timeout_of("7") == 7s);
    CHECK(timeout_of("\"1.000001\"") == 1'000'001us);
    for (auto const* wrong : {"0", "-1", "86401", "9223372036854775807", "\"\"", "\".5\"", "\"1.\"",
                              "\"1.0000001\"", "\"-1\"", "\"1e3\"", "\"0.-1\"", "\"1 \""})
    {
        CAPTURE(wrong);
        CHECK_FALSE(timeout_of(wrong).has_value());
    }
}
