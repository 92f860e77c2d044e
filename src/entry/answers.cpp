#include "entry/answers.hpp"

#include "entry/completion_answer.hpp"
#include "http/error_response.hpp"

namespace gooseberrywood::entry
{

namespace
{

constexpr std::uint16_t http_ok = 200;

void ensure_stream(request& which)
{
    if (!which.exchange->streaming)
    {
        http::begin_stream(*which.exchange, http_ok, "text/event-stream");
    }
}

bool is_completion(request const& which)
{
    return which.caller.kind == bundle::route_kind::model && which.end.status == http_ok;
}

} // namespace

bool pass_tokens(request& which, std::string_view bytes)
{
    which.passed += bytes;
    if (!which.caller.stream)
    {
        return true;
    }
    ensure_stream(which);
    return http::append_stream(*which.exchange, bytes);
}

void pass_end(request& which)
{
    auto const& caller = which.caller;
    if (!is_completion(which))
    {
        http::respond(*which.exchange, which.end.status, which.end.content_type, which.end.body);
    }
    else if (!caller.stream)
    {
        http::respond(
            *which.exchange, http_ok, "application/json",
            whole_completion(which.id, caller.route, caller.chat, which.passed, which.end));
    }
    else
    {
        ensure_stream(which);
        http::append_stream(*which.exchange,
                            stream_end(which.id, caller.route, caller.chat, which.end));
        http::end_stream(*which.exchange);
    }
}

void pass_error(request& which, base::error const& why, std::optional<base::mono_time> retry_at)
{
    if (!which.exchange->streaming)
    {
        http::respond_error(*which.exchange, why, retry_at);
    }
    else if (http::append_stream(*which.exchange, stream_error(why)))
    {
        http::end_stream(*which.exchange);
    }
    else
    {
        // The caller reads too slowly for the error event to reach it.
        http::abort_stream(*which.exchange);
    }
}

} // namespace gooseberrywood::entry
