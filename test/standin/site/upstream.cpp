#include "standin/site/site.hpp"

#include <cstdlib>

namespace gooseberrywood::test
{

namespace
{

using nlohmann::json;

/// An upstream that begins to run a request with this body ends.
constexpr char const* crashing_body = "crash";

std::string header(SoupServerMessage* message, char const* name)
{
    auto const* const value =
        soup_message_headers_get_one(soup_server_message_get_request_headers(message), name);
    return value == nullptr ? "" : value;
}

void set_header(SoupServerMessage* message, char const* name, std::string const& value)
{
    soup_message_headers_replace(soup_server_message_get_response_headers(message), name,
                                 value.c_str());
}

void refuse(SoupServerMessage* message, unsigned status)
{
    set_header(message, "Not-Executed", "1");
    answer(message, status, json::object());
}

/// Records the headers of a request, so that tests see what arrived.
void record_headers(site& self, std::string const& id, SoupServerMessage* message)
{
    auto& recorded = self.headers[id];
    recorded.clear();
    for (auto const& [name, value] : headers_of(message))
    {
        std::unique_ptr<char, base::glib_free> const lower(g_ascii_strdown(name.c_str(), -1));
        recorded[lower.get()] = value;
    }
}

std::string digest_of(std::string const& body)
{
    std::unique_ptr<char, base::glib_free> const digest(g_compute_checksum_for_data(
        G_CHECKSUM_SHA256, reinterpret_cast<guchar const*>(body.data()), body.size()));
    return digest.get();
}

/// A running stream; owns itself through its timer.
struct event_run
{
    site* owner = nullptr;
    site_upstream* at = nullptr;
    base::object_ptr<SoupServerMessage> message;
    std::string id;
    std::int64_t next = 0;
    std::int64_t last = 0;
    /// Number of this run at its upstream.
    std::uint32_t number = 0;
    base::event_source timer;
};

void send_event(std::shared_ptr<event_run> const& run)
{
    auto* const message = run->message.get();
    if (peer_closed(message) || run->number <= run->at->dropped_until || run->at->restart)
    {
        --run->at->running;
        run->timer.reset();
        close_connection(message);
        return;
    }
    auto* const body = soup_server_message_get_response_body(message);
    if (run->next > run->last)
    {
        --run->at->running;
        run->timer.reset();
        soup_message_body_complete(body);
        soup_server_message_unpause(message);
        return;
    }
    auto const mark = run->at->marks_events ? "@" + run->at->software_version : "";
    auto const event =
        fmt::format("id: {}\ndata: {}-{}{}\n\n", run->next, run->id, run->next, mark);
    soup_message_body_append(body, SOUP_MEMORY_COPY, event.data(), event.size());
    soup_server_message_unpause(message);
    ++run->next;
    run->timer = base::at(base::mono_now() + run->at->event_time, [run] { send_event(run); });
}

/// Streams as many events as the body says.
void start_stream(site& self, site_upstream& at, SoupServerMessage* message)
{
    auto const run = std::make_shared<event_run>();
    auto const after = header(message, "Last-Event-Id");
    run->owner = &self;
    run->at = &at;
    run->message = base::share(message);
    run->number = ++at.runs_begun;
    run->id = header(message, "Attempt-Id");
    run->next = std::strtoll(after.c_str(), nullptr, 10) + 1;
    run->last = std::strtoll(body_of(message).c_str(), nullptr, 10);
    self.resumed += after.empty() ? 0 : 1;
    ++at.running;
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    set_header(message, "Content-Type", "text/event-stream");
    set_header(message, "Weight-Versions", std::to_string(at.weights.at("m")));
    soup_message_headers_set_encoding(soup_server_message_get_response_headers(message),
                                      SOUP_ENCODING_CHUNKED);
    soup_server_message_pause(message);
    send_event(run);
}

void restart(site& self, site_upstream& at)
{
    // Moved out, since this runs in its handler.
    auto const keep = std::move(at.restart);
    at.restart.reset();
    ++at.born;
    if (at.renames)
    {
        self.values.erase("servers/" + at.id);
        at.id = fmt::format("{}-{}", at.service, self.revision);
    }
    announce(self, at);
}

/// Ends the upstream and all that runs there, and starts it again after a while.
void crash(site& self, site_upstream& at)
{
    at.crashes.push_back(base::mono_now());
    at.restart = base::at(base::mono_now() + at.down_time, [&self, &at] { restart(self, at); });
}

/// Answers a lookup after the upstream's time, unless the upstream has ended meanwhile.
void answer_later(site_upstream& at, SoupServerMessage* message)
{
    soup_server_message_pause(message);
    std::shared_ptr<SoupServerMessage> const held = base::share(message);
    auto const timer = std::make_shared<base::event_source>();
    *timer = base::at(base::mono_now() + at.answer_time,
                      [&at, born = at.born, timer, held]
                      {
                          auto const keep = std::move(*timer);
                          if (at.restart || at.born != born)
                          {
                              close_connection(held.get());
                              return;
                          }
                          answer(held.get(), SOUP_STATUS_OK, {{"echo", body_of(held.get())}});
                          soup_server_message_unpause(held.get());
                      });
}

void take_order(site_upstream& at, SoupServerMessage* message)
{
    auto const body = json::parse(body_of(message));
    auto const fencing = body.at("fencing_token").get<std::uint64_t>();
    if (fencing < at.fencing)
    {
        answer(message, SOUP_STATUS_PRECONDITION_FAILED, json::object());
        return;
    }
    at.fencing = fencing;
    if (body.value("expected", at.orders) != at.orders)
    {
        answer(message, SOUP_STATUS_CONFLICT, json::object());
        return;
    }
    ++at.orders;
    at.weights["m"] = body.at("version").get<std::uint32_t>();
    answer(message, SOUP_STATUS_ACCEPTED, json::object());
}

} // namespace

void serve_upstream(site& self, site_upstream& at, SoupServerMessage* message)
{
    if (at.restart)
    {
        close_connection(message);
        return;
    }
    at.caller_ports.insert(g_inet_socket_address_get_port(
        G_INET_SOCKET_ADDRESS(soup_server_message_get_remote_address(message))));
    auto const path = path_of(message);
    if (path.starts_with("/-/") && send_raw_answer(self.raw, at.service + path, message, ""))
    {
        return;
    }
    if (path == "/-/report")
    {
        answer(message, SOUP_STATUS_OK, {{"seq", at.orders}});
        return;
    }
    if (path == "/-/order")
    {
        take_order(at, message);
        announce(self, at);
        return;
    }
    at.arrivals.push_back(base::mono_now());
    auto const id = header(message, "Attempt-Id");
    set_header(message, "Attempt-Id", id);
    if (at.rate_limit > 0)
    {
        set_header(message, "Server-Limit", fmt::format("{}", at.rate_limit));
    }
    if (at.states_leaving)
    {
        set_header(message, "Server-Leaving", "1");
    }
    if (header(message, "Expect-Instance") != at.id)
    {
        refuse(message, SOUP_STATUS_MISDIRECTED_REQUEST);
        return;
    }
    auto const expected = header(message, "Expect-Version");
    if (!expected.empty() && expected != std::to_string(at.weights.at("m")))
    {
        refuse(message, SOUP_STATUS_MISDIRECTED_REQUEST);
        return;
    }
    if (at.fails > 0)
    {
        --at.fails;
        ++self.runs[id];
        answer(message, SOUP_STATUS_INTERNAL_SERVER_ERROR, json::object());
        return;
    }
    if (at.refuses)
    {
        ++at.refused;
        refuse(message, SOUP_STATUS_SERVICE_UNAVAILABLE);
        return;
    }
    ++self.runs[id];
    self.teams[id] = header(message, "Tenant");
    record_headers(self, id, message);
    self.digests[id] = digest_of(body_of(message));
    if (body_of(message) == crashing_body)
    {
        crash(self, at);
        close_connection(message);
        return;
    }
    if (send_raw_answer(self.raw, at.service, message, id))
    {
        return;
    }
    if (at.silent || at.breaks_off)
    {
        soup_server_message_pause(message);
        if (at.breaks_off)
        {
            close_connection(message);
            return;
        }
        at.held.push_back(base::share(message));
        return;
    }
    set_header(message, "Server-Stamp", "stamp-" + id);
    if (at.is_engine)
    {
        start_stream(self, at, message);
        return;
    }
    if (at.answer_time.count() > 0)
    {
        answer_later(at, message);
        return;
    }
    answer(message, SOUP_STATUS_OK, {{"echo", body_of(message)}});
}

void announce(site& self, site_upstream const& which)
{
    auto models = json::array();
    if (which.is_engine)
    {
        for (auto const& [name, version] : which.weights)
        {
            models.push_back({{"name", name}, {"version", version}});
        }
    }
    json const entry = {{"service", which.service},
                        {"address", fmt::format("127.0.0.1:{}", which.port)},
                        {"zone", "krapina"},
                        {"version", which.software_version},
                        {"slots", 8},
                        {"state", which.state},
                        {"cold_remaining_ms", 0},
                        {"models", models},
                        {"seq", 1},
                        {"born", which.born}};
    self.values["servers/" + which.id] = {entry.dump(), ++self.revision, 0};
}

} // namespace gooseberrywood::test
