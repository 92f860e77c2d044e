#include "base.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood::base;

SCENARIO("a log line is one JSON object whatever the text in it")
{
    GIVEN("a field with a line end, a quote and a byte that is not UTF-8")
    {
        auto const line =
            format_log_line(7, log_level::warning, "refused",
                            {{"message", "a\n\"b\"\xff"}, {"code", result_code::overloaded}});
        THEN("it is escaped and stays on one line")
        {
            CHECK(line == "{\"time_us\":7,\"level\":\"warning\",\"event\":\"refused\","
                          "\"message\":\"a\\n\\\"b\\\"\xEF\xBF\xBD\",\"code\":106,"
                          "\"code_name\":\"overloaded\"}");
        }
    }
}

SCENARIO("ids derived from an Idempotency-Key")
{
    THEN("the same pair gives the same id")
    {
        CHECK(derived_request_id("lepoglava", "order-1") ==
              derived_request_id("lepoglava", "order-1"));
    }
    THEN("moving a letter from the team to the key gives another id")
    {
        CHECK(derived_request_id("ab", "c") != derived_request_id("a", "bc"));
    }
}

SCENARIO("result codes from another process")
{
    THEN("a known number is its code")
    {
        CHECK(result_code_from(106) == result_code::overloaded);
    }
    THEN("an unknown number is none")
    {
        CHECK_FALSE(result_code_from(9999).has_value());
    }
}
