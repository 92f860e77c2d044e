#include "base/ip_port.hpp"
#include "settings.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace gooseberrywood;

namespace
{

std::string parse_error(std::string_view text)
{
    auto const parsed = settings::parse(text, "p.toml");
    REQUIRE_FALSE(parsed.has_value());
    CHECK(parsed.error().code == base::result_code::settings_invalid);
    return parsed.error().message;
}

} // namespace

SCENARIO("parsing process settings reports every error")
{
    GIVEN("settings of an agent")
    {
        auto const parsed = settings::parse(R"(
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
        REQUIRE(parsed.has_value());
        CHECK(parsed->host == "krapina-7");
        CHECK(parsed->listen_wire == "[::1]:0");
        CHECK(parsed->log_level == "info");
        REQUIRE(parsed->upstreams.size() == 1);
        CHECK(parsed->upstreams[0].checks_fencing);
    }
    GIVEN("one error of each kind")
    {
        auto const message = parse_error(R"(domain = "krapina"
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
        // Guards against reporting only the first error, and against errors without line or key.
        THEN("all errors are reported in line order, one per line with its key")
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
        THEN("the line of the syntax error is reported")
        {
            CHECK(parse_error("host = \"a\"\n= 3\n").starts_with("p.toml:2: TOML: "));
        }
    }
    GIVEN("dotted keys with 400 000 parts")
    {
        // Guards against a stack overflow in toml++, which nests one table per key part.
        std::string parts;
        for (int i = 0; i < 400'000; ++i)
        {
            parts += ".a";
        }
        auto const expected = "p.toml:2: TOML: a key has more than 16 dots";
        CHECK(parse_error("\na" + parts + " = 1") == expected);
        CHECK(parse_error("\n[a" + parts + "]") == expected);
        CHECK(parse_error("\nx = [\"\"\"\"a\"\"\"\"\", {a" + parts + " = 1}]") == expected);
        THEN("dots in strings and comments are not counted")
        {
            CHECK(settings::parse("host = \"a\"\ndomain = \"b\"\ndata_folder = \"" + parts +
                                      "\" # " + parts,
                                  "p.toml")
                      .has_value());
        }
    }
    GIVEN("a file that does not exist")
    {
        auto const loaded = settings::load("/nonexistent/p.toml");
        REQUIRE_FALSE(loaded.has_value());
        CHECK(loaded.error().code == base::result_code::io_error);
    }
}

SCENARIO("only numeric addresses are parsed")
{
    CHECK(base::ip_port_from("127.0.0.1:80") == base::ip_port{"127.0.0.1", 80});
    CHECK(base::ip_port_from("[::1]:0") == base::ip_port{"::1", 0});
    CHECK(base::ip_port_from_url("http://10.0.0.1:9") == base::ip_port{"10.0.0.1", 9});
    // Guards against host names, which need a blocking look-up, and against partial parsing.
    for (std::string_view const invalid :
         {"", ":", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:80 ",
          "127.0.0.1:-1", "::1:80", "[127.0.0.1]:80", "[]:80", "1.2.3:4"})
    {
        CAPTURE(invalid);
        CHECK_FALSE(base::ip_port_from(invalid).has_value());
    }
    CHECK_FALSE(base::ip_port_from_url("http://10.0.0.1:0").has_value());
    CHECK_FALSE(base::ip_port_from_url("http://10.0.0.1:9/x").has_value());
}
