#include "gateway/store_relay.hpp"

#include "base/log.hpp"
#include "gateway/gateway.hpp"
#include "gateway/measure.hpp"
#include "gateway/pending_messages.hpp"
#include "http/status.hpp"
#include "wire/codec.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

using fetch_done = std::function<void(http::fetch_outcome)>;

// Another gateway answers within milliseconds or not at all.
constexpr base::duration relay_timeout = std::chrono::milliseconds(600);

// Leaves room in the frame for the fields besides the body.
constexpr std::size_t max_relayed_bytes = wire::max_frame_bytes - 4096;

bool is_rejected(http::fetch_outcome const& outcome)
{
    return outcome && (outcome->status == http::status::unavailable ||
                       outcome->status == http::status::too_many_requests);
}

bool is_served(http::fetch_outcome const& outcome)
{
    return outcome && !is_rejected(outcome);
}

bool had_no_effect(http::call_request const& request, http::fetch_outcome const& outcome)
{
    return is_rejected(outcome) || request.method == "GET" || (!outcome && !outcome.error().sent);
}

bool fits_in_frame(http::call_request const& request)
{
    return http::body_of(request).size() < max_relayed_bytes;
}

/// Chooses the gateway to relay through: the next one in turn after each failed call.
/// \returns its peer address; nothing when there is no other gateway.
std::optional<std::string> choose_relay(gateway const& self)
{
    std::vector<std::string_view> addresses;
    for (auto const& [host, member] : self.shared.members)
    {
        if (host != self.settings.host && !member.peer_address.empty())
        {
            addresses.push_back(member.peer_address);
        }
    }
    if (addresses.empty())
    {
        return std::nullopt;
    }
    return std::string(addresses[self.relay.failed_calls % addresses.size()]);
}

http::fetch_outcome no_answer(bool sent)
{
    return tl::unexpected(
        http::failed_call{{base::result_code::connection_lost,
                           "the call relayed through another gateway was not answered"},
                          sent,
                          true});
}

void complete_relayed_call(gateway& self, std::uint64_t number, http::fetch_outcome outcome)
{
    auto call = self.relay.pending.extract(number);
    if (call.empty())
    {
        return;
    }
    if (!is_served(outcome))
    {
        ++self.relay.failed_calls;
        store::record_relay_failure(self.relay.path);
    }
    count_relayed(self, is_served(outcome));
    call.mapped().done(std::move(outcome));
}

void call_via_relay(gateway& self, std::string const& relay_address,
                    http::call_request const& request, base::mono_time deadline, fetch_done done)
{
    auto const number = ++self.relay.last_number;
    auto const until = std::min(deadline, base::mono_now() + relay_timeout);
    self.relay.pending[number] = {
        relay_address, std::move(done),
        base::at(until, [&self, number] { complete_relayed_call(self, number, no_answer(true)); })};
    send_to_peer(self.peers, relay_address,
                 wire::store_call{number, wire::to_wall(until), request.method, request.url,
                                  std::string(http::body_of(request))});
}

void record_direct_outcome(gateway& self, http::fetch_outcome const& outcome)
{
    bool const served = is_served(outcome);
    if (store::record_direct_call(self.relay.path, served, base::mono_now()))
    {
        base::log_line(
            served ? base::log_level::info : base::log_level::warning,
            served ? "store_path_works" : "store_path_fails",
            {{"reason", served    ? std::string_view("")
                        : outcome ? std::string_view(
                                        "the store rejects calls of this process with 429 or 503")
                                  : std::string_view(outcome.error().why.message)}});
    }
}

void call_direct(gateway& self, http::call_request const& request, base::mono_time deadline,
                 fetch_done done)
{
    self.relay.direct(
        request, deadline,
        [&self, request, deadline, done = std::move(done)](http::fetch_outcome outcome)
        {
            record_direct_outcome(self, outcome);
            bool const may_relay = !is_served(outcome) && had_no_effect(request, outcome) &&
                                   fits_in_frame(request) && base::mono_now() < deadline;
            auto const relay_address = may_relay ? choose_relay(self) : std::nullopt;
            if (relay_address)
            {
                call_via_relay(self, *relay_address, request, deadline, done);
                return;
            }
            done(std::move(outcome));
        });
}

void call_store(gateway& self, http::call_request const& request, base::mono_time deadline,
                fetch_done done)
{
    bool const is_direct =
        store::should_call_directly(self.relay.path, base::mono_now()) || !fits_in_frame(request);
    auto const relay_address = is_direct ? std::nullopt : choose_relay(self);
    if (relay_address)
    {
        call_via_relay(self, *relay_address, request, deadline, std::move(done));
        return;
    }
    call_direct(self, request, deadline, std::move(done));
}

} // namespace

store::transport make_relayed_transport(gateway& self)
{
    return [&self](http::call_request const& request, base::mono_time deadline, fetch_done done)
    {
        call_store(self, request, deadline, std::move(done));
    };
}

void relay_store_call(gateway& self, wire::connection& from, wire::store_call const& call)
{
    if (!store::may_relay(self.relay.path, base::mono_now()))
    {
        (void)wire::send(from, wire::store_answer{call.number, 0, false, {}});
        return;
    }
    http::call_request request;
    request.method = call.method;
    request.url = call.target;
    request.body = call.body;
    request.content_type = call.body.empty() ? "" : "application/json";
    request.may_repeat = true;
    self.relay.direct(request, wire::to_local(from, call.deadline),
                      [&self, number = call.number,
                       connection = from.weak_from_this()](http::fetch_outcome const& outcome)
                      {
                          record_direct_outcome(self, outcome);
                          auto const peer = connection.lock();
                          if (!peer)
                          {
                              return;
                          }
                          auto answer =
                              outcome
                                  ? wire::store_answer{number, outcome->status, true, outcome->body}
                                  : wire::store_answer{number, 0, outcome.error().sent, {}};
                          if (!wire::send(*peer, answer))
                          {
                              // The answer exceeds the frame size limit: reported as not answered.
                              (void)wire::send(*peer, wire::store_answer{number, 0, true, {}});
                          }
                      });
}

void handle_store_answer(gateway& self, wire::store_answer const& answer)
{
    if (answer.status == 0)
    {
        complete_relayed_call(self, answer.number, no_answer(answer.sent));
        return;
    }
    complete_relayed_call(self, answer.number,
                          http::fetched_response{answer.status, {}, answer.body});
}

void fail_relayed_calls(gateway& self, std::string const& relay_address)
{
    for (auto const number : numbers_sent_to(self.relay.pending, relay_address))
    {
        complete_relayed_call(self, number, no_answer(true));
    }
}

} // namespace gooseberrywood::gateway
