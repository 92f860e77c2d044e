#include "http/fetch.hpp"

#include "http/header_list.hpp"

#include <fmt/format.h>

#include <utility>

namespace gooseberrywood::http
{

namespace
{

void finish(fetch& of, fetch_outcome outcome)
{
    of.timer.reset();
    // Moved out, since the owner usually drops the fetch in `done`.
    auto const done = std::move(of.done);
    of.done = nullptr;
    if (done)
    {
        done(std::move(outcome));
    }
}

void on_failure(fetch& of, base::error const& why, bool sent, bool timed_out)
{
    of.running.reset();
    finish(of, tl::unexpected(failed_call{why, sent, timed_out}));
}

void on_body(fetch& of, std::string_view bytes)
{
    if (of.body.size() + bytes.size() > of.max_body_bytes)
    {
        on_failure(of, {base::result_code::upstream_error, "the answer is too large"}, true, false);
        return;
    }
    of.body.append(bytes);
}

void on_whole(fetch& of)
{
    auto* const message = of.running->message.get();
    finish(of, fetched_response{static_cast<std::uint16_t>(soup_message_get_status(message)),
                                response_headers(message), std::move(of.body)});
}

std::string describe_timeout(fetch const& of)
{
    if (!of.running || !of.running->sent)
    {
        return "not sent before the deadline";
    }
    auto const status =
        of.running->answer ? soup_message_get_status(of.running->message.get()) : SOUP_STATUS_NONE;
    return fmt::format("no whole answer before the deadline; status {}, {} bytes so far",
                       static_cast<int>(status), of.body.size());
}

call_handlers handlers_of(std::shared_ptr<fetch> const& made)
{
    std::weak_ptr<fetch> const weak = made;
    auto const with = [weak](auto const& act)
    {
        if (auto const of = weak.lock())
        {
            act(*of);
        }
    };
    return {[](std::uint16_t, std::string_view) {},
            [with](std::string_view bytes) { with([&](fetch& of) { on_body(of, bytes); }); },
            [with] { with([](fetch& of) { on_whole(of); }); },
            [with](base::error const& why, bool sent)
            {
                with([&](fetch& of) { on_failure(of, why, sent, false); });
            }};
}

} // namespace

std::shared_ptr<fetch> start_fetch(SoupSession* session, call_request const& what,
                                   base::mono_time deadline, std::size_t max_body_bytes,
                                   std::function<void(fetch_outcome)> done)
{
    auto made = std::make_shared<fetch>();
    made->max_body_bytes = max_body_bytes;
    made->done = std::move(done);
    made->timer = base::at(
        deadline,
        [weak = std::weak_ptr<fetch>(made)]
        {
            if (auto const of = weak.lock())
            {
                bool const sent = of->running && of->running->sent;
                on_failure(*of, {base::result_code::timeout, describe_timeout(*of)}, sent, true);
            }
        });
    made->running = start_call(session, what, handlers_of(made));
    return made;
}

std::vector<header> response_headers(SoupMessage* of)
{
    return header_list(soup_message_get_response_headers(of));
}

bool equal_header_names(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && g_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<std::string_view> find_header(std::vector<header> const& in, std::string_view name)
{
    for (auto const& one : in)
    {
        if (equal_header_names(one.name, name))
        {
            return one.value;
        }
    }
    return std::nullopt;
}

} // namespace gooseberrywood::http
