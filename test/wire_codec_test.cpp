#include "wire/codec.hpp"
#include "wire/frame_buffer.hpp"

#include "property.hpp"

#include <algorithm>

using namespace gooseberrywood;

namespace
{

std::span<std::byte const> bytes_of(std::string const& text)
{
    return std::as_bytes(std::span(text));
}

wire::frame sample_frame(std::string body)
{
    wire::start message;
    message.id = base::random_request_id();
    message.attempt = 3;
    message.upstream = "planner-lm-1";
    message.team = "zlatar";
    message.body = std::move(body);
    message.crash_ids = {1, 2};
    message.deadline = base::wall_now();
    return {{9, 1, true, {{10, 77}}}, base::wall_now(), 5, 6, message};
}

/// Encodes a message and returns the decoded result.
template <class Message>
Message round_trip(Message const& sent)
{
    auto const encoded = wire::encode({{}, base::wall_now(), 0, 0, sent});
    REQUIRE(encoded.has_value());
    wire::frame_buffer buffer;
    wire::append(buffer, bytes_of(*encoded));
    auto const received = wire::decode(**wire::next_frame(buffer));
    REQUIRE(received.has_value());
    return std::get<Message>(received->body);
}

} // namespace

SCENARIO("a frame survives encoding and decoding")
{
    auto const sent = sample_frame(R"({"prompt":"x"})");
    auto const encoded = wire::encode(sent);
    REQUIRE(encoded.has_value());

    WHEN("it arrives byte by byte after another frame")
    {
        wire::frame_buffer buffer;
        auto const stream = *encoded + *encoded;
        int frames = 0;
        for (char const& c : stream)
        {
            wire::append(buffer, std::as_bytes(std::span(&c, 1)));
            auto const next = wire::next_frame(buffer);
            REQUIRE(next.has_value());
            if (*next)
            {
                ++frames;
                auto const received = wire::decode(**next);
                REQUIRE(received.has_value());
                auto const& start = std::get<wire::start>(received->body);
                auto const& original = std::get<wire::start>(sent.body);
                CHECK(received->stamp.config_version == 9);
                CHECK(received->stamp.host_leaving);
                CHECK(received->stamp.announced == sent.stamp.announced);
                CHECK(received->echo_mono_us == 6);
                CHECK(start.id == original.id);
                CHECK(start.body == original.body);
                CHECK(start.crash_ids == original.crash_ids);
                CHECK(start.deadline == original.deadline);
            }
        }
        THEN("both frames are extracted completely")
        {
            CHECK(frames == 2);
        }
    }
}

SCENARIO("messages between gateways survive encoding and decoding")
{
    GIVEN("notices about batch jobs")
    {
        wire::job_assigned const sent{"job-1", 77, R"({"team":"x"})"};
        auto const received = round_trip(sent);
        CHECK(received.job_id == sent.job_id);
        CHECK(received.owner_revision == sent.owner_revision);
        CHECK(received.record == sent.record);
        CHECK(round_trip(wire::job_ended{"job-1"}).job_id == "job-1");
    }
    GIVEN("a relayed store call")
    {
        wire::store_call const sent{7, base::wall_now(), "POST", "/txn?x=1", std::string("\0a", 2)};
        auto const received = round_trip(sent);
        CHECK(received.number == sent.number);
        CHECK(received.deadline == sent.deadline);
        CHECK(received.method == sent.method);
        CHECK(received.target == sent.target);
        CHECK(received.body == sent.body);
    }
    GIVEN("a notice that weights are loading")
    {
        wire::weights_loading const sent{"u", "m", 7, std::chrono::milliseconds(900)};
        auto const received = round_trip(sent);
        CHECK(received.upstream == sent.upstream);
        CHECK(received.model == sent.model);
        CHECK(received.version == sent.version);
        CHECK(received.remaining == sent.remaining);
    }
    GIVEN("a request for a permit and its answer")
    {
        auto const request = round_trip(wire::permit_request{7, "u", 2.5});
        CHECK(request.number == 7);
        CHECK(request.upstream == "u");
        CHECK(request.requests_per_s == 2.5);
        auto const answer = round_trip(wire::permit_answer{7, true, std::chrono::milliseconds(40)});
        CHECK(answer.number == 7);
        CHECK(answer.granted);
        CHECK(answer.retry_after == std::chrono::milliseconds(40));
    }
    GIVEN("a list request")
    {
        wire::list_request const sent{7, "shared/", 77, 78, std::chrono::milliseconds(900)};
        auto const received = round_trip(sent);
        CHECK(received.number == sent.number);
        CHECK(received.prefix == sent.prefix);
        CHECK(received.source == sent.source);
        CHECK(received.version == sent.version);
        CHECK(received.longest_age == sent.longest_age);
    }
    GIVEN("a response to a list request")
    {
        wire::list_answer sent{
            7, true, std::chrono::milliseconds(30), std::chrono::milliseconds(25), {}};
        sent.changes = {77, 79, true, {{"a", std::string("\0x", 2), 5}}, {"b", "c"}};
        auto const received = round_trip(sent);
        CHECK(received.number == sent.number);
        CHECK(received.available);
        CHECK(received.begin_age == sent.begin_age);
        CHECK(received.end_age == sent.end_age);
        CHECK(received.changes.source == 77);
        CHECK(received.changes.version == 79);
        CHECK(received.changes.whole);
        REQUIRE(received.changes.items.size() == 1);
        CHECK(received.changes.items[0].value == sent.changes.items[0].value);
        CHECK(received.changes.items[0].revision == 5);
        CHECK(received.changes.removed == sent.changes.removed);
    }
    GIVEN("a response to a relayed store call")
    {
        wire::store_answer const sent{7, 412, true, "{}"};
        auto const received = round_trip(sent);
        CHECK(received.number == sent.number);
        CHECK(received.status == sent.status);
        CHECK(received.sent);
        CHECK(received.body == sent.body);
    }
}

SCENARIO("malformed input is rejected with bounded memory")
{
    GIVEN("an announced length above the limit")
    {
        wire::frame_buffer buffer;
        wire::append(buffer, bytes_of("\xff\xff\xff\xff"));
        THEN("the frame is rejected before its content is buffered")
        {
            auto const next = wire::next_frame(buffer);
            REQUIRE_FALSE(next.has_value());
            CHECK(next.error().code == base::result_code::frame_too_large);
        }
    }
    GIVEN("a body that is too large for a frame")
    {
        THEN("encoding fails")
        {
            auto const encoded =
                wire::encode(sample_frame(std::string(wire::max_frame_bytes, 'x')));
            REQUIRE_FALSE(encoded.has_value());
            CHECK(encoded.error().code == base::result_code::frame_too_large);
        }
    }
    GIVEN("a frame with modified and truncated bytes")
    {
        // Guards against out-of-bounds reads; run it with AddressSanitizer.
        test::check_property("corrupted frames are decoded or rejected",
                             [](std::vector<std::pair<std::uint16_t, std::uint8_t>> const& changes,
                                std::uint16_t truncation)
                             {
                                 auto text = *wire::encode(sample_frame("abc"));
                                 text.erase(0, wire::length_bytes);
                                 for (auto const& [position, value] : changes)
                                 {
                                     text[position % text.size()] = static_cast<char>(value);
                                 }
                                 text.resize(text.size() - truncation % text.size());
                                 auto const received = wire::decode(bytes_of(text));
                                 // RC_ASSERT evaluates both sides of ||.
                                 bool const rejected =
                                     !received &&
                                     received.error().code == base::result_code::frame_malformed;
                                 RC_ASSERT(received.has_value() != rejected);
                             });
    }
}
