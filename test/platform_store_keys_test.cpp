#include "platform/platform.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace gooseberrywood;

SCENARIO("keys of any bytes are sent to the store whole")
{
    using namespace std::string_literals;
    std::vector<http::call_request> sent;
    auto const client =
        platform::make_store_client([&](http::call_request const& request, base::mono_time,
                                        auto const&) { sent.push_back(request); });
    WHEN("a page begins after a key that holds a zero byte")
    {
        // Guards against a list that is read from the same key again and again.
        client.list("servers/", "servers/a\0b"s, {}, [](auto const&) {});
        THEN("the store is asked for what follows the whole key")
        {
            REQUIRE(sent.size() == 1);
            CHECK(sent[0].url == "/-/kv-range?prefix=servers/&after=servers/a%00b");
        }
    }
    WHEN("a key holds characters with a meaning in a URL")
    {
        client.read("servers/a?b&c=d#e%f+g h\r\n\xC5\xBE", {}, [](auto const&) {});
        THEN("they are encoded")
        {
            REQUIRE(sent.size() == 1);
            CHECK(sent[0].url == "/-/kv-key?key=servers/a%3Fb%26c%3Dd%23e%25f%2Bg%20h%0D%0A%C5%BE");
        }
    }
    WHEN("a key has no form in a message")
    {
        // Guards against a process that ends while it encodes the message.
        store::transaction transaction;
        transaction.writes.push_back({"shared/\xFF", "value", 0});
        std::optional<base::result<store::commit>> outcome;
        client.commit_transaction(transaction, {}, [&](auto result) { outcome = result; });
        THEN("the call fails and nothing is sent")
        {
            REQUIRE(outcome.has_value());
            REQUIRE_FALSE(outcome->has_value());
            CHECK(outcome->error().code == base::result_code::bad_request);
            CHECK(sent.empty());
        }
    }
}
