#include "base/json_fields.hpp"
#include "duty.hpp"
#include "rollout.hpp"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

std::string replaced(std::string text, std::string_view piece, std::string_view instead)
{
    auto const at = text.find(piece);
    REQUIRE(at != std::string::npos);
    return text.replace(at, piece.size(), instead);
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

SCENARIO("numbers out of range make a stored entry unreadable")
{
    // Guards against casts and sums that are undefined, and numbers that change their meaning.
    GIVEN("the record of a job")
    {
        rollout::job_record const record{"id", "team", "host", "/path/", base::wall_time{12us},
                                         3,    false,  "m",    4,        9};
        auto const text = rollout::encode(record);
        REQUIRE(rollout::decode_job_record("id", text).has_value());
        for (auto const* time : {"18446744073709551615", "9223372036854775807", "1e300", "-1"})
        {
            CAPTURE(time);
            CHECK_FALSE(
                rollout::decode_job_record("id", replaced(text, "\"submitted_us\":12",
                                                          std::string("\"submitted_us\":") + time))
                    .has_value());
        }
        CHECK_FALSE(rollout::decode_job_record(
                        "id", replaced(text, "\"least_version\":4", "\"least_version\":4294967300"))
                        .has_value());
    }
    GIVEN("the saved text of a sample")
    {
        rollout::saved_progress progress;
        auto& sample = progress["s"];
        sample.text = "text";
        sample.events = 2;
        sample.last_event_id = 5;
        sample.versions = {7};
        sample.failed_runs = 1;
        sample.origin = rollout::text_origin{"service", "v1"};
        auto const text = rollout::encode_progress(progress);
        REQUIRE(rollout::decode_progress(text).has_value());
        CHECK_FALSE(rollout::decode_progress(replaced(text, "\"last_event_id\":5",
                                                      "\"last_event_id\":18446744073709551615"))
                        .has_value());
        CHECK_FALSE(rollout::decode_progress(
                        replaced(text, "\"versions\":[7]", "\"versions\":[4294967303]"))
                        .has_value());
        CHECK_FALSE(rollout::decode_progress(
                        replaced(text, "\"failed_runs\":1", "\"failed_runs\":4294967297"))
                        .has_value());
    }
    GIVEN("the entry of a gateway")
    {
        rollout::member const member{"edge-1", 77, "10.0.0.1:7660", 2, "d"};
        auto const text = rollout::encode(member);
        REQUIRE(rollout::decode_member("edge-1", text).has_value());
        for (auto const* processors : {"1e300", "-1.0"})
        {
            CAPTURE(processors);
            CHECK_FALSE(rollout::decode_member(
                            "edge-1", replaced(text, "\"processors\":2.0",
                                               std::string("\"processors\":") + processors))
                            .has_value());
        }
        for (auto const* address : {"host.example:7660", "10.0.0.1:70000", "10.0.0.1", "\\u0000"})
        {
            CAPTURE(address);
            CHECK_FALSE(rollout::decode_member("edge-1", replaced(text, "10.0.0.1:7660", address))
                            .has_value());
        }
    }
}

SCENARIO("values that are nested too deeply are not read")
{
    // Guards against the stack and the memory that such values take.
    auto const at_limit = base::max_json_depth - 1;
    CHECK(base::parse_object(R"({"x":)" + nested(at_limit) + "}").has_value());
    CHECK(base::parse_object(R"({"x":")" + nested(1000) + R"(\"[[","y":{}})").has_value());
    CHECK(base::parse_object(R"({"x":[)" + std::string(1000, ' ') + R"(],"y":[[]],"z":[]})")
              .has_value());
    CHECK_FALSE(base::parse_object(R"({"x":)" + nested(at_limit + 1) + "}").has_value());
    for (std::size_t const depth : {1'000U, 100'000U, 1'000'000U})
    {
        CAPTURE(depth);
        CHECK_FALSE(base::parse_object(nested(depth)).has_value());
        CHECK_FALSE(base::parse_object(R"({"x":)" + nested(depth) + "}").has_value());
        CHECK_FALSE(base::parse_object(R"({"x":)" + nested(depth)).has_value());
        CHECK_FALSE(rollout::decode_job_record("id", nested(depth)).has_value());
        CHECK_FALSE(rollout::decode_progress(R"({"samples":)" + nested(depth) + "}").has_value());
        CHECK_FALSE(rollout::decode_results(R"({"results":)" + nested(depth) + "}").has_value());
        CHECK_FALSE(duty::decode_shares(R"({"u":)" + nested(depth) + "}").has_value());
        CHECK_FALSE(duty::decode_counts(R"({"t":)" + nested(depth) + "}").has_value());
    }
}

SCENARIO("ids that can't be part of a job's keys are told")
{
    CHECK(rollout::is_valid_job_id("9c41d07be2a35f68"));
    CHECK(rollout::is_valid_job_id(std::string(rollout::max_job_id_bytes, 'x')));
    CHECK(rollout::result_key(std::string(rollout::max_job_id_bytes, 'x'), 99'999'999).size() <=
          200);
    for (std::string const id : {"", " ", "a/b", "a\r\n", "\xFF", "\xC5\xBE", "a\x7F"})
    {
        CAPTURE(id);
        CHECK_FALSE(rollout::is_valid_job_id(id));
    }
    CHECK_FALSE(rollout::is_valid_job_id(std::string(rollout::max_job_id_bytes + 1, 'x')));
}
