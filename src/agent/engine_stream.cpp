#include "agent/engine_stream.hpp"

#include "completion/choice_text.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace gooseberrywood::agent
{

namespace
{

using nlohmann::json;

constexpr std::string_view data_prefix = "data: ";

base::result<void> failed(std::string message)
{
    return base::fail(base::result_code::upstream_error, std::move(message));
}

std::uint64_t number(json const& object, char const* name, std::uint64_t otherwise)
{
    auto const at = object.find(name);
    return at != object.end() && at->is_number_unsigned() ? at->get<std::uint64_t>() : otherwise;
}

void note_version(engine_stream& stream, json const& event)
{
    stream.last_version = number(event, "weight_version", stream.last_version);
    if (!stream.first_version)
    {
        stream.first_version = stream.last_version;
    }
}

void note_finish(engine_stream& stream, json const& event)
{
    auto const choices = event.find("choices");
    if (choices != event.end() && choices->is_array() && !choices->empty() &&
        choices->front().is_object())
    {
        auto const reason = choices->front().find("finish_reason");
        if (reason != choices->front().end() && reason->is_string())
        {
            stream.finish_reason = reason->get<std::string>();
        }
    }
    auto const usage = event.find("usage");
    if (usage != event.end() && usage->is_object())
    {
        stream.prompt_tokens = static_cast<std::uint32_t>(number(*usage, "prompt_tokens", 0));
    }
}

base::result<void> read_event(engine_stream& stream, std::string_view data, engine_tokens& out)
{
    if (data == "[DONE]")
    {
        stream.done = true;
        return {};
    }
    auto const event = json::parse(data, nullptr, false);
    if (!event.is_object())
    {
        return failed("the engine sent an event that is not a JSON object");
    }
    if (event.contains("error"))
    {
        return failed("the engine ended its stream with an error");
    }
    note_version(stream, event);
    note_finish(stream, event);
    if (!event.contains("token_index"))
    {
        return {};
    }
    auto const index = number(event, "token_index", 0);
    auto const count = static_cast<std::uint32_t>(number(event, "token_count", 1));
    if (index != stream.next_token)
    {
        return failed(
            fmt::format("the engine sent token {} where {} follows", index, stream.next_token));
    }
    if (out.tokens == 0)
    {
        out.first_token = stream.next_token;
    }
    stream.next_token += count;
    out.tokens += count;
    if (stream.text_only)
    {
        out.bytes += completion::choice_text(event);
    }
    else
    {
        out.bytes += fmt::format("data: {}\n\n", data);
    }
    return {};
}

} // namespace

base::result<engine_tokens> read(engine_stream& stream, std::string_view received)
{
    engine_tokens out;
    out.first_token = stream.next_token;
    stream.partial += received;
    std::size_t begin = 0;
    for (auto end = stream.partial.find("\n\n"); end != std::string::npos;
         end = stream.partial.find("\n\n", begin))
    {
        auto const event = std::string_view(stream.partial).substr(begin, end - begin);
        begin = end + 2;
        if (event.starts_with(data_prefix))
        {
            auto const outcome = read_event(stream, event.substr(data_prefix.size()), out);
            if (!outcome)
            {
                return tl::unexpected(outcome.error());
            }
        }
    }
    stream.partial.erase(0, begin);
    if (stream.partial.size() > max_event_bytes)
    {
        return base::fail(base::result_code::upstream_error,
                          fmt::format("the engine sent an event above {} bytes", max_event_bytes));
    }
    return out;
}

} // namespace gooseberrywood::agent
