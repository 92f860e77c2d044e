#include "platform/event_stream.hpp"
#include "rollout/sample_progress.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace gooseberrywood;

namespace
{

std::string const event = "id: 1\ndata: a\n\n";

} // namespace

SCENARIO("a stream holds something that is no event")
{
    // Guards against an error that is skipped, so that the text before it looks complete.
    for (std::string const other :
         {"HTTP/1.1 500 Internal Server Error\n\n", "{\"error\":\"broken\"}\n\n", "<html>\n\n",
          "event: error\ndata: broken\n\n", "event: error\n\n", "error: broken\n\n",
          "id: 2\nInternal error\ndata: b\n\n"})
    {
        CAPTURE(other);
        platform::event_stream stream;
        auto const events = platform::feed(stream, event + other + "id: 2\ndata: b\n\n");
        CHECK(events.size() == 1);
        CHECK(stream.is_malformed);
        CHECK(platform::feed(stream, "id: 2\ndata: b\n\n").empty());
    }
}

SCENARIO("a stream holds lines that carry no text")
{
    // Guards against whole streams that are taken for broken ones.
    for (std::string const other :
         {": comment\n\n", ":\n\n", "\n\n", "\n", "retry: 5\n\n", "id: 2\n\n",
          "weight-versions: 3\n\n", "event: token\nid: 2\ndata: b\n\n",
          "some-field: x\nid: 2\ndata: b\n\n"})
    {
        CAPTURE(other);
        platform::event_stream stream;
        auto const events = platform::feed(stream, event + other + "id: 3\ndata: c\n\n");
        CHECK_FALSE(stream.is_malformed);
        CHECK(events.back().data == "c");
        CHECK(stream.buffer.empty());
    }
}

SCENARIO("an event has no id, or an unreadable one")
{
    // Guards against a text that begins with an error in place of its first event.
    for (std::string const text :
         {"data: broken\n\n", "id: x\ndata: broken\n\n", "id:\ndata: broken\n\n"})
    {
        CAPTURE(text);
        platform::event_stream stream;
        auto const events = platform::feed(stream, text);
        REQUIRE(events.size() == 1);
        rollout::sample_progress progress;
        CHECK_FALSE(rollout::append_event(progress, events.front(), 1, {"engines", "v1"}));
        CHECK(progress.text.empty());
    }
}
