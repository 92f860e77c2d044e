#include "http/fetch.hpp"

#include "http/header_list.hpp"

#include <fmt/format.h>

#include <utility>

namespace gooseberrywood::http
{

namespace
{

void finish(fetch& pending, fetch_outcome outcome)
{
    pending.timer.reset();
    // Moved out, since the owner usually releases the fetch in `done`.
    auto const done = std::move(pending.done);
    pending.done = nullptr;
    if (done)
    {
        done(std::move(outcome));
    }
}

void on_failure(fetch& pending, base::error const& error, bool sent, bool timed_out)
{
    pending.active_call.reset();
    pending.body = {};
    finish(pending, tl::unexpected(failed_call{error, sent, timed_out}));
}

void on_body(fetch& pending, std::string_view bytes)
{
    if (pending.body.size() + bytes.size() > pending.max_body_bytes)
    {
        on_failure(
            pending,
            {base::result_code::response_too_large, "the response body exceeds the size limit"},
            true, false);
        return;
    }
    pending.body.append(bytes);
}

void on_complete(fetch& pending)
{
    auto* const message = pending.active_call->message.get();
    base::retain(*pending.active_call->share);
    finish(pending, fetched_response{static_cast<std::uint16_t>(soup_message_get_status(message)),
                                     response_headers(message), std::move(pending.body),
                                     std::move(pending.active_call->share)});
}

std::string describe_timeout(fetch const& pending)
{
    if (!pending.active_call || !pending.active_call->sent)
    {
        return "the request was not sent before the deadline";
    }
    auto const status = pending.active_call->response_stream
                            ? soup_message_get_status(pending.active_call->message.get())
                            : SOUP_STATUS_NONE;
    return fmt::format(
        "no complete response before the deadline: got status {} and {} bytes of the body",
        static_cast<int>(status), pending.body.size());
}

call_handlers make_handlers(std::shared_ptr<fetch> const& made)
{
    std::weak_ptr<fetch> const weak = made;
    auto const with_fetch = [weak](auto const& action)
    {
        if (auto const pending = weak.lock())
        {
            action(*pending);
        }
    };
    return {[](std::uint16_t, std::string_view) {},
            [with_fetch](std::string_view bytes)
            { with_fetch([&](fetch& pending) { on_body(pending, bytes); }); },
            [with_fetch] { with_fetch([](fetch& pending) { on_complete(pending); }); },
            [with_fetch](base::error const& error, bool sent)
            {
                with_fetch([&](fetch& pending) { on_failure(pending, error, sent, false); });
            }};
}

} // namespace

std::shared_ptr<fetch> start_fetch(SoupSession* session, call_request const& request,
                                   base::mono_time deadline, std::size_t max_body_bytes,
                                   std::function<void(fetch_outcome)> done,
                                   std::function<bool()> may_send)
{
    auto made = std::make_shared<fetch>();
    made->max_body_bytes = max_body_bytes;
    made->done = std::move(done);
    made->timer = base::at(
        deadline,
        [weak = std::weak_ptr<fetch>(made)]
        {
            if (auto const pending = weak.lock())
            {
                bool const sent = is_sent(*pending);
                on_failure(*pending, {base::result_code::timeout, describe_timeout(*pending)}, sent,
                           true);
            }
        });
    auto handlers = make_handlers(made);
    handlers.may_send = std::move(may_send);
    made->active_call = start_call(session, request, std::move(handlers));
    return made;
}

bool is_sent(fetch const& pending)
{
    return pending.active_call && pending.active_call->sent;
}

std::vector<header> response_headers(SoupMessage* message)
{
    return header_list(soup_message_get_response_headers(message));
}

bool equal_header_names(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && g_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<std::string_view> find_header(std::vector<header> const& headers,
                                            std::string_view name)
{
    for (auto const& header : headers)
    {
        if (equal_header_names(header.name, name))
        {
            return header.value;
        }
    }
    return std::nullopt;
}

} // namespace gooseberrywood::http
