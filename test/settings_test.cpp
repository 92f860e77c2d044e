#include "base/ip_port.hpp"
#include "settings.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace gooseberrywood;

namespace
{

std::string faults_of(std::string_view text)
{
    auto const read = settings::parse(text, "p.toml");
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().code == base::result_code::settings_invalid);
    return read.error().message;
}

} // namespace

SCENARIO("process settings are read whole or not at all")
{
    GIVEN("settings of an agent")
    {
        auto const read = settings::parse(R"(
host = "krapina-7"
domain = "krapina"
listen_wire = "[::1]:0"
platform_url = "http://127.0.0.1:8500"
bundle_public_key = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

[[upstreams]]
name = "planner-lm-1"
route = "planner-lm"
url = "http://127.0.0.1:8000"
checks_fencing = true
)",
                                          "p.toml");
        REQUIRE(read.has_value());
        CHECK(read->host == "krapina-7");
        CHECK(read->listen_wire == "[::1]:0");
        CHECK(read->log_level == "info");
        REQUIRE(read->upstreams.size() == 1);
        CHECK(read->upstreams[0].checks_fencing);
    }
    GIVEN("a fault of each sort")
    {
        auto const message = faults_of(R"(domain = "krapina"
listen_http = "localhost:80"
platform_url = "https://127.0.0.1:1"
log_level = 3
"odd\nkey" = 1
[[agents]]
host = "a"
address = "127.0.0.1:0"
[[agents]]
host = "a"
address = "127.0.0.1:1"
)");
        // Guards against reporting only the first fault, and against a fault without its place.
        THEN("all are reported, ordered by line, each on one line with its key")
        {
            CHECK(message == "p.toml:1: host: is missing\n"
                             "p.toml:1: bundle_public_key: is missing; bundles from the platform "
                             "are used only with a valid signature\n"
                             "p.toml:2: listen_http: must be a numeric address and a port, "
                             "IP:port\n"
                             "p.toml:3: platform_url: must be http://IP:port with a numeric "
                             "address and no path\n"
                             "p.toml:4: log_level: must be a string, not an integer\n"
                             "p.toml:5: odd\\x0akey: is unknown\n"
                             "p.toml:8: agents[0].address: must be a numeric address and a port "
                             "from 1, IP:port\n"
                             "p.toml:10: agents[1].host: \"a\" is used twice");
        }
    }
    GIVEN("text that is not TOML")
    {
        THEN("the line of the syntax fault is reported")
        {
            CHECK(faults_of("host = \"a\"\n= 3\n").starts_with("p.toml:2: TOML: "));
        }
    }
    GIVEN("keys with very many parts")
    {
        // Guards against a stack overflow in toml++, which nests one table for each part.
        std::string parts;
        for (int i = 0; i < 400'000; ++i)
        {
            parts += ".a";
        }
        auto const refused = "p.toml:2: TOML: a key has more than 16 dots";
        CHECK(faults_of("\na" + parts + " = 1") == refused);
        CHECK(faults_of("\n[a" + parts + "]") == refused);
        CHECK(faults_of("\nx = [\"\"\"\"a\"\"\"\"\", {a" + parts + " = 1}]") == refused);
        THEN("text in strings and comments is not counted")
        {
            CHECK(settings::parse("host = \"a\"\ndomain = \"b\"\ndata_folder = \"" + parts +
                                      "\" # " + parts,
                                  "p.toml")
                      .has_value());
        }
    }
    GIVEN("a file that does not exist")
    {
        auto const read = settings::load("/nonexistent/p.toml");
        REQUIRE_FALSE(read.has_value());
        CHECK(read.error().code == base::result_code::io_error);
    }
}

SCENARIO("addresses are numeric")
{
    CHECK(base::ip_port_from("127.0.0.1:80") == base::ip_port{"127.0.0.1", 80});
    CHECK(base::ip_port_from("[::1]:0") == base::ip_port{"::1", 0});
    CHECK(base::ip_port_from_url("http://10.0.0.1:9") == base::ip_port{"10.0.0.1", 9});
    // Guards against names, which would be resolved by a blocking call, and against partial reads.
    for (std::string_view const wrong :
         {"", ":", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:80 ",
          "127.0.0.1:-1", "::1:80", "[127.0.0.1]:80", "[]:80", "1.2.3:4"})
    {
        CAPTURE(wrong);
        CHECK_FALSE(base::ip_port_from(wrong).has_value());
    }
    CHECK_FALSE(base::ip_port_from_url("http://10.0.0.1:0").has_value());
    CHECK_FALSE(base::ip_port_from_url("http://10.0.0.1:9/x").has_value());
}
