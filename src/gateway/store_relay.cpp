#include "gateway/store_relay.hpp"

#include "base/log.hpp"
#include "gateway/gateway.hpp"
#include "gateway/measure.hpp"
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

// Another gateway answers within milliseconds, or not at all.
constexpr base::duration relay_timeout = std::chrono::milliseconds(600);

// A frame holds the call and a few fields more.
constexpr std::size_t max_relayed_bytes = wire::max_frame_bytes - 4096;

bool is_turned_away(http::fetch_outcome const& outcome)
{
    return outcome && (outcome->status == http::status::unavailable ||
                       outcome->status == http::status::too_many_requests);
}

bool is_served(http::fetch_outcome const& outcome)
{
    return outcome && !is_turned_away(outcome);
}

bool had_no_effect(http::call_request const& request, http::fetch_outcome const& outcome)
{
    return is_turned_away(outcome) || request.method == "GET" ||
           (!outcome && !outcome.error().sent);
}

bool fits_in_frame(http::call_request const& request)
{
    return request.body.size() < max_relayed_bytes;
}

/// Address of a gateway to ask: each time that one could not help, the next one in turn.
std::optional<std::string> choose_helper(gateway const& self)
{
    std::vector<std::string_view> found;
    for (auto const& [host, member] : self.shared.members)
    {
        if (host != self.settings.host && !member.peer_address.empty())
        {
            found.push_back(member.peer_address);
        }
    }
    if (found.empty())
    {
        return std::nullopt;
    }
    return std::string(found[self.relay.failures % found.size()]);
}

http::fetch_outcome no_answer(bool sent)
{
    return tl::unexpected(http::failed_call{
        {base::result_code::connection_lost, "no answer through another gateway"}, sent, true});
}

void end_relayed(gateway& self, std::uint64_t number, http::fetch_outcome outcome)
{
    auto call = self.relay.pending.extract(number);
    if (call.empty())
    {
        return;
    }
    if (!is_served(outcome))
    {
        ++self.relay.failures;
        store::record_relay_failure(self.relay.path);
    }
    count_relayed(self, is_served(outcome));
    call.mapped().then(std::move(outcome));
}

void call_through(gateway& self, std::string const& helper, http::call_request const& request,
                  base::mono_time deadline, fetch_done then)
{
    auto const number = ++self.relay.calls;
    auto const until = std::min(deadline, base::mono_now() + relay_timeout);
    self.relay.pending[number] = {
        helper, std::move(then),
        base::at(until, [&self, number] { end_relayed(self, number, no_answer(true)); })};
    send_to_peer(
        self.peers, helper,
        wire::store_call{number, wire::to_wall(until), request.method, request.url, request.body});
}

void note_outcome(gateway& self, http::fetch_outcome const& outcome)
{
    bool const served = is_served(outcome);
    if (store::record_direct_call(self.relay.path, served, base::mono_now()))
    {
        base::log_line(served ? base::log_level::info : base::log_level::warning,
                       served ? "store_path_works" : "store_path_fails",
                       {{"reason", served    ? std::string_view("")
                                   : outcome ? std::string_view("the store turns this process away")
                                             : std::string_view(outcome.error().why.message)}});
    }
}

void call_direct(gateway& self, http::call_request const& request, base::mono_time deadline,
                 fetch_done then)
{
    self.relay.direct(request, deadline,
                      [&self, request, deadline, then = std::move(then)](http::fetch_outcome got)
                      {
                          note_outcome(self, got);
                          bool const may_try_again =
                              !is_served(got) && had_no_effect(request, got) &&
                              fits_in_frame(request) && base::mono_now() < deadline;
                          auto const helper = may_try_again ? choose_helper(self) : std::nullopt;
                          if (helper)
                          {
                              call_through(self, *helper, request, deadline, then);
                              return;
                          }
                          then(std::move(got));
                      });
}

void call_store(gateway& self, http::call_request const& request, base::mono_time deadline,
                fetch_done then)
{
    bool const should_call_directly =
        store::should_call_directly(self.relay.path, base::mono_now()) || !fits_in_frame(request);
    auto const helper = should_call_directly ? std::nullopt : choose_helper(self);
    if (helper)
    {
        call_through(self, *helper, request, deadline, std::move(then));
        return;
    }
    call_direct(self, request, deadline, std::move(then));
}

} // namespace

store::transport make_relayed_transport(gateway& self)
{
    return [&self](http::call_request const& request, base::mono_time deadline, fetch_done then)
    {
        call_store(self, request, deadline, std::move(then));
    };
}

void relay_store_call(gateway& self, wire::connection& from, wire::store_call const& what)
{
    if (!store::may_relay(self.relay.path, base::mono_now()))
    {
        (void)wire::send(from, wire::store_answer{what.number, 0, false, {}});
        return;
    }
    http::call_request request;
    request.method = what.method;
    request.url = what.target;
    request.body = what.body;
    request.content_type = what.body.empty() ? "" : "application/json";
    request.may_repeat = true;
    self.relay.direct(
        request, wire::to_local(from, what.deadline),
        [&self, number = what.number, back = from.weak_from_this()](http::fetch_outcome const& got)
        {
            note_outcome(self, got);
            auto const to = back.lock();
            if (!to)
            {
                return;
            }
            auto answer = got ? wire::store_answer{number, got->status, true, got->body}
                              : wire::store_answer{number, 0, got.error().sent, {}};
            if (!wire::send(*to, answer))
            {
                // Too long for a frame; the other gateway hears that it has no answer.
                (void)wire::send(*to, wire::store_answer{number, 0, true, {}});
            }
        });
}

void take_store_answer(gateway& self, wire::store_answer const& got)
{
    if (got.status == 0)
    {
        end_relayed(self, got.number, no_answer(got.sent));
        return;
    }
    end_relayed(self, got.number, http::fetched_response{got.status, {}, got.body});
}

void fail_relayed_calls(gateway& self, std::string const& helper)
{
    std::vector<std::uint64_t> lost;
    for (auto const& [number, call] : self.relay.pending)
    {
        if (call.helper == helper)
        {
            lost.push_back(number);
        }
    }
    for (auto const number : lost)
    {
        end_relayed(self, number, no_answer(true));
    }
}

} // namespace gooseberrywood::gateway
