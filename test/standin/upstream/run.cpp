#include "base/hash.hpp"
#include "standin/upstream/upstream.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace gooseberrywood::test
{

namespace
{

using nlohmann::json;

// A frozen upstream looks at its faults and its connections this often.
constexpr base::duration frozen_interval = std::chrono::milliseconds(10);

constexpr int cold_factor = 5;

std::string token(std::uint64_t prompt_hash, std::uint64_t index)
{
    static constexpr std::array<char const*, 16> words = {
        "oak", "elm",  "fir", "ash",  "yew", "box",  "bay",  "sloe",
        "fig", "pear", "hop", "reed", "rye", "sage", "dill", "leek"};
    auto const value = base::hash64(std::to_string(index), prompt_hash);
    return fmt::format("{}{} ", words.at(value % words.size()), value / words.size() % 1000);
}

std::int64_t bears(upstream const& self)
{
    auto const& options = self.options;
    auto const age = base::mono_now() - self.serving_since;
    if (age >= options.warm_up)
    {
        return options.bears_warm;
    }
    return options.bears_fresh +
           (options.bears_warm - options.bears_fresh) * age.count() / options.warm_up.count();
}

void send_event(run& r, std::string const& text)
{
    auto* const body = soup_server_message_get_response_body(r.message.get());
    auto const event = "data: " + text + "\n\n";
    soup_message_body_append(body, SOUP_MEMORY_COPY, event.data(), event.size());
}

json envelope(upstream const& self, run const& r)
{
    auto const* const object =
        r.chat ? (r.stream ? "chat.completion.chunk" : "chat.completion") : "text_completion";
    return {{"id", r.record->id},
            {"object", object},
            {"model", r.model},
            {"weight_version", self.weight_version}};
}

json choice(run const& r, std::string const& text, json finish_reason)
{
    json made = {{"index", 0}, {"finish_reason", std::move(finish_reason)}};
    if (!r.chat)
    {
        made["text"] = text;
    }
    else
    {
        made[r.stream ? "delta" : "message"] = {{"role", "assistant"}, {"content", text}};
    }
    return json::array({made});
}

void generate(upstream& self, run& r)
{
    auto const text = token(r.prompt_hash, r.next_token);
    if (r.stream)
    {
        auto event = envelope(self, r);
        event["choices"] = choice(r, text, nullptr);
        event["token_index"] = r.next_token;
        send_event(r, event.dump());
    }
    r.text += text;
    ++r.next_token;
    ++self.tokens_generated;
}

void answer_engine(upstream const& self, run& r)
{
    auto last = envelope(self, r);
    last["choices"] = choice(r, r.stream ? "" : r.text, "length");
    last["usage"] = {{"prompt_tokens", r.prompt_tokens}, {"completion_tokens", r.max_tokens}};
    if (!r.stream)
    {
        answer(r.message.get(), SOUP_STATUS_OK, last);
        return;
    }
    send_event(r, last.dump());
    send_event(r, "[DONE]");
    soup_message_body_complete(soup_server_message_get_response_body(r.message.get()));
}

void answer_service(run const& r)
{
    json const body = {{"id", r.record->id},
                       {"method", r.record->method},
                       {"path", r.record->path},
                       {"body", r.record->body}};
    answer(r.message.get(), SOUP_STATUS_OK, body);
}

void end_run(upstream& self, run& r, bool finished)
{
    // Owns the run to the end of this function.
    auto const owned = std::move(self.running.extract(r.message.get()).mapped());
    owned->record->finished = finished;
    owned->record->canceled = !finished;
    if (!finished || self.faults.drop_answer)
    {
        close_connection(owned->message.get());
        return;
    }
    if (self.options.engine)
    {
        answer_engine(self, *owned);
    }
    else
    {
        answer_service(*owned);
    }
    soup_server_message_unpause(owned->message.get());
}

void advance(upstream& self, run& r)
{
    if (peer_closed(r.message.get()))
    {
        end_run(self, r, false);
        return;
    }
    auto const now = base::mono_now();
    auto again_at = now + frozen_interval;
    if (!self.faults.freeze)
    {
        if (r.crashes)
        {
            std::abort();
        }
        auto const token_time = self.options.token_time * (self.faults.cold ? cold_factor : 1);
        auto const before = r.next_token;
        // Timers have a resolution of a millisecond, so one call may owe several tokens.
        for (; r.next_token < r.max_tokens && r.due <= now; r.due += token_time)
        {
            generate(self, r);
        }
        if (r.next_token >= r.max_tokens)
        {
            end_run(self, r, true);
            return;
        }
        if (r.stream && r.next_token > before)
        {
            soup_server_message_unpause(r.message.get());
        }
        again_at = r.due;
    }
    r.timer = base::at(again_at, [&self, &r] { advance(self, r); });
}

/// Reads the fields of a model request.
/// \returns false when the resumed text is not what this prompt gives.
bool parse_engine_request(upstream const& self, run& r)
{
    auto const request = json::parse(r.record->body);
    auto const prompt =
        r.chat ? request.at("messages").dump() : request.at("prompt").get<std::string>();
    r.model = request.value("model", "");
    r.stream = request.value("stream", false);
    r.max_tokens = request.value("max_tokens", std::uint64_t{16});
    r.prompt_hash = base::hash64(prompt);
    r.prompt_tokens = 1 + static_cast<std::uint64_t>(std::ranges::count(prompt, ' '));
    auto const& word = self.options.crash_word;
    r.crashes = !word.empty() && prompt.find(word) != std::string::npos;
    if (request.contains("resume"))
    {
        auto const& resume = request.at("resume");
        auto const tokens = resume.at("tokens").get<std::uint64_t>();
        for (; r.next_token < tokens; ++r.next_token)
        {
            r.text += token(r.prompt_hash, r.next_token);
        }
        return r.text == resume.at("text").get<std::string>();
    }
    return true;
}

void refuse(SoupServerMessage* message, unsigned status, std::string const& why)
{
    answer(message, status, {{"error", {{"message", why}}}});
}

} // namespace

void start_run(upstream& self, SoupServerMessage* message)
{
    if (self.faults.error_status != 0)
    {
        refuse(message, self.faults.error_status, "error_status is set");
        return;
    }
    auto made = std::make_unique<run>();
    auto record = std::make_shared<execution>();
    record->headers = headers_of(message);
    auto const* const id = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "X-Request-Id");
    record->id = id == nullptr ? "" : id;
    record->method = soup_server_message_get_method(message);
    record->path = path_of(message);
    record->query = query_of(message);
    record->body = body_of(message);
    record->started_at = base::wall_now();
    made->message = base::share(message);
    made->record = record;
    if (self.options.engine)
    {
        made->chat = record->path == "/v1/chat/completions";
        if (record->method != "POST" || (!made->chat && record->path != "/v1/completions"))
        {
            refuse(message, SOUP_STATUS_NOT_FOUND, "no such path");
            return;
        }
        if (!parse_engine_request(self, *made))
        {
            refuse(message, SOUP_STATUS_BAD_REQUEST, "resume.text is not what came before");
            return;
        }
    }
    if (self.options.bears_warm > 0 &&
        static_cast<std::int64_t>(self.running.size()) >= bears(self))
    {
        ++self.overload;
        refuse(message, SOUP_STATUS_SERVICE_UNAVAILABLE, "overloaded");
        return;
    }
    if (made->stream)
    {
        auto* const headers = soup_server_message_get_response_headers(message);
        soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
        soup_message_headers_set_content_type(headers, "text/event-stream", nullptr);
        soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    }
    self.executions.push_back(record);
    auto& r = *self.running.emplace(message, std::move(made)).first->second;
    self.max_running_seen = std::max<std::uint64_t>(self.max_running_seen, self.running.size());
    r.due = base::mono_now() + self.options.first_token_time + self.faults.delay;
    r.timer = base::at(r.due, [&self, &r] { advance(self, r); });
    soup_server_message_pause(message);
}

} // namespace gooseberrywood::test
