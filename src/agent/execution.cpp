#include "agent/execution.hpp"

#include "agent/engine_request.hpp"
#include "http/limits.hpp"

#include <fmt/format.h>

#include <utility>

namespace gooseberrywood::agent
{

namespace
{

constexpr std::uint16_t http_ok = 200;

// Tokens of an answer that the caller gets as a whole are passed on in runs: a frame for each token
// costs the entry more than the token itself. What is held is lost with the agent and is then
// generated again, so the runs are short against an answer.
constexpr std::uint32_t max_held_tokens = 64;
constexpr base::duration longest_hold = std::chrono::milliseconds(500);

void pass_on(execution& e, engine_tokens tokens)
{
    e.handlers.on_chunk({e.attempt.id, e.attempt.attempt, tokens.first_token, tokens.tokens,
                         std::move(tokens.bytes)});
}

void flush_held(execution& e)
{
    if (e.held.tokens > 0)
    {
        pass_on(e, std::exchange(e.held, {}));
    }
}

// The handler that ends an execution destroys it, so handlers are moved out first.
void end_with_failure(execution& e, execution_failure const& failure)
{
    flush_held(e);
    auto const handlers = std::move(e.handlers);
    handlers.on_failed(failure);
}

void hold(execution& e, engine_tokens const& tokens)
{
    auto const now = base::mono_now();
    if (e.held.tokens == 0)
    {
        e.held.first_token = tokens.first_token;
        e.held_since = now;
    }
    e.held.tokens += tokens.tokens;
    e.held.bytes += tokens.bytes;
    if (e.held.tokens >= max_held_tokens || now >= e.held_since + longest_hold)
    {
        flush_held(e);
    }
}

void receive_tokens(execution& e, std::string_view bytes)
{
    auto tokens = read(e.stream, bytes);
    if (!tokens)
    {
        end_with_failure(e, {tokens.error(), true, false});
        return;
    }
    if (tokens->tokens == 0)
    {
        return;
    }
    if (e.first_token_at == base::mono_time{})
    {
        e.first_token_at = base::mono_now();
    }
    if (e.attempt.stream)
    {
        pass_on(e, std::move(*tokens));
    }
    else
    {
        hold(e, *tokens);
    }
}

void receive(execution& e, std::string_view bytes)
{
    e.progress_at = base::mono_now();
    if (e.is_engine && e.status == http_ok)
    {
        receive_tokens(e, bytes);
        return;
    }
    if (e.body.size() + bytes.size() > http::max_body_bytes)
    {
        end_with_failure(e, {{base::result_code::upstream_error,
                              fmt::format("the answer exceeds {} bytes", http::max_body_bytes)},
                             true,
                             false});
        return;
    }
    e.body += bytes;
}

void complete(execution& e)
{
    if (e.is_engine && e.status == http_ok && !e.stream.done)
    {
        end_with_failure(e, {{base::result_code::connection_lost,
                              "the engine's stream ended before its last event"},
                             true,
                             true});
        return;
    }
    flush_held(e);
    wire::finished message;
    message.id = e.attempt.id;
    message.attempt = e.attempt.attempt;
    message.status = e.status;
    message.total_tokens = e.stream.next_token;
    message.prompt_tokens = e.stream.prompt_tokens;
    message.version_before = e.stream.first_version.value_or(0);
    message.version_after = e.stream.last_version;
    message.content_type = e.content_type;
    message.body = std::move(e.body);
    message.finish_reason = e.stream.finish_reason;
    auto const handlers = std::move(e.handlers);
    handlers.on_finished(std::move(message));
}

} // namespace

base::result<std::unique_ptr<execution>> execute(SoupSession* session, std::string_view url,
                                                 bool is_engine, wire::start attempt,
                                                 execution_handlers handlers)
{
    http::call_request request;
    request.method = attempt.method;
    request.url = fmt::format("{}{}", url, attempt.path);
    request.content_type = attempt.content_type;
    request.may_repeat = attempt.idempotent;
    request.headers.push_back({"X-Request-Id", base::to_string(attempt.id)});
    if (is_engine)
    {
        auto body = engine_body(attempt);
        if (!body)
        {
            return tl::unexpected(body.error());
        }
        request.body = std::move(*body);
    }
    else
    {
        request.body = attempt.body;
    }
    auto made = std::make_unique<execution>();
    auto* const e = made.get();
    e->attempt = std::move(attempt);
    e->is_engine = is_engine;
    e->handlers = std::move(handlers);
    e->began = base::mono_now();
    e->progress_at = e->began;
    e->stream.next_token = e->attempt.resume_tokens;
    e->stream.text_only = !e->attempt.stream;
    e->call = http::start_call(session, request,
                               {[e](std::uint16_t status, std::string_view type)
                                {
                                    e->status = status;
                                    e->content_type = type;
                                },
                                [e](std::string_view bytes) { receive(*e, bytes); },
                                [e] { complete(*e); },
                                [e](base::error const& why, bool sent) {
                                    end_with_failure(*e, {why, sent, sent});
                                },
                                [e]
                                {
                                    e->handlers.on_sending();
                                }});
    return made;
}

} // namespace gooseberrywood::agent
