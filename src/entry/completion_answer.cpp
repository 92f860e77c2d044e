#include "entry/completion_answer.hpp"

#include "completion/choice_text.hpp"
#include "http/error_response.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace gooseberrywood::entry
{

namespace
{

using json = nlohmann::ordered_json;

constexpr std::string_view data_prefix = "data: ";

std::string compact(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json usage_of(wire::finished const& end)
{
    return {{"prompt_tokens", end.prompt_tokens},
            {"completion_tokens", end.total_tokens},
            {"total_tokens", end.prompt_tokens + end.total_tokens}};
}

json head(base::request_id const& id, std::string_view model, std::string_view object)
{
    return {{"id", base::to_string(id)}, {"object", object}, {"model", model}};
}

} // namespace

std::string text_of(std::string_view events)
{
    std::string text;
    while (!events.empty())
    {
        auto const end = events.find("\n\n");
        auto const event = events.substr(0, end);
        events = end == std::string_view::npos ? std::string_view{} : events.substr(end + 2);
        if (event.starts_with(data_prefix))
        {
            text += completion::choice_text(
                nlohmann::json::parse(event.substr(data_prefix.size()), nullptr, false));
        }
    }
    return text;
}

std::string whole_completion(base::request_id const& id, std::string_view model, bool chat,
                             std::string_view text, wire::finished const& end)
{
    auto out = head(id, model, chat ? "chat.completion" : "text_completion");
    json choice = {{"index", 0}, {"finish_reason", end.finish_reason}};
    if (chat)
    {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    out["choices"] = json::array({std::move(choice)});
    out["usage"] = usage_of(end);
    out["weight_version"] = end.version_after;
    return compact(out);
}

std::string stream_end(base::request_id const& id, std::string_view model, bool chat,
                       wire::finished const& end)
{
    auto out = head(id, model, chat ? "chat.completion.chunk" : "text_completion");
    json choice = {{"index", 0}, {"finish_reason", end.finish_reason}};
    if (chat)
    {
        choice["delta"] = json::object();
    }
    else
    {
        choice["text"] = "";
    }
    out["choices"] = json::array({std::move(choice)});
    out["usage"] = usage_of(end);
    return fmt::format("data: {}\n\ndata: [DONE]\n\n", compact(out));
}

std::string stream_error(base::error const& why)
{
    return fmt::format("event: error\ndata: {}\n\n", http::error_json(why));
}

} // namespace gooseberrywood::entry
