#include "gateway/callers.hpp"

#include "base/log.hpp"
#include "gateway/answer_caller.hpp"
#include "gateway/end_job.hpp"
#include "gateway/measure.hpp"
#include "gateway/read_job.hpp"
#include "gateway/refresh.hpp"
#include "gateway/route_request.hpp"
#include "gateway/serve_plain.hpp"
#include "gateway/submit_job.hpp"
#include "http/rejection.hpp"
#include "http/status.hpp"
#include "platform/batch_calls.hpp"
#include "platform/caller_head.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;

// Another gateway may have a newer configuration already, and this one may have it by then.
constexpr base::duration retry_after_stale = std::chrono::milliseconds(200);
// The load balancer sends new connections to other gateways by then.
constexpr base::duration retry_after_stop = std::chrono::milliseconds(50);

void answer(gateway& self, http::exchange& exchange, http::rejection const& denial)
{
    if (denial.status == http::status::unavailable)
    {
        refuse(self, exchange, denial.error, denial.retry_after);
        return;
    }
    answer_error(self, exchange, denial.status, denial.error);
}

http::rejection refuse_as_stale(std::string reason)
{
    return {http::status::unavailable,
            {result_code::configuration_stale, std::move(reason)},
            retry_after_stale};
}

/// Denies a request that the configuration does not allow. While a newer configuration may allow
/// it, the request is refused with a retry delay instead.
http::rejection deny(gateway const& self, std::uint16_t status, base::error error,
                     base::mono_time now)
{
    return has_current_configuration(self, now)
               ? http::rejection{status, std::move(error), {}}
               : refuse_as_stale("the known configuration is too old to deny the request");
}

http::rejection deny_unknown_route(gateway const& self, base::mono_time now)
{
    return deny(self, http::status::not_found,
                {result_code::unknown_route, "no route for this host and path"}, now);
}

/// Authenticates a caller by its key.
/// \returns the team; empty when the route or the configuration requires no key; or why the request
/// is not allowed.
tl::expected<std::string, http::rejection> authorize(gateway const& self,
                                                     std::optional<std::string> const& api_key,
                                                     fleet::route const* route, base::mono_time now)
{
    auto const& configuration = *self.configuration;
    if (!configuration.teams || (route != nullptr && route->open))
    {
        return std::string();
    }
    if (!has_current_keys(self, now))
    {
        return tl::unexpected(refuse_as_stale("the known configuration is too old to check keys"));
    }
    auto const* const team = api_key ? fleet::find_team(configuration, *api_key) : nullptr;
    if (team == nullptr)
    {
        return tl::unexpected(deny(self, http::status::unauthorized,
                                   {api_key ? result_code::key_unknown : result_code::key_missing,
                                    "the request carries no known key"},
                                   now));
    }
    return *team;
}

void serve_request(gateway& self, std::shared_ptr<http::exchange> const& exchange,
                   platform::caller_head const& head, base::mono_time now)
{
    auto const* const route = fleet::find_route(*self.configuration, head.host, exchange->path);
    if (route == nullptr)
    {
        answer(self, *exchange, deny_unknown_route(self, now));
        return;
    }
    auto const team = authorize(self, head.api_key, route, now);
    if (!team)
    {
        answer(self, *exchange, team.error());
        return;
    }
    if (route->kind == fleet::route_kind::rollout)
    {
        submit_job(self, exchange, head, *route, *team);
        return;
    }
    serve_plain(self, {exchange, head, *route, *team, now});
}

void handle_batch_call(gateway& self, std::shared_ptr<http::exchange> const& exchange,
                       platform::batch_call const& call, std::string const& team)
{
    switch (call.operation)
    {
    case platform::batch_operation::read_results:
        read_results(self, exchange, call, team);
        break;
    case platform::batch_operation::read_body:
        read_body(self, exchange, call, team);
        break;
    case platform::batch_operation::end:
        end_job(self, exchange, call, team);
        break;
    }
}

} // namespace

void handle_caller(gateway& self, std::shared_ptr<http::exchange> const& exchange)
{
    if (self.refuses_callers)
    {
        refuse(self, *exchange,
               {result_code::shutting_down, "this gateway stops and takes no request any more"},
               retry_after_stop);
        return;
    }
    self.open_exchanges.push_back(exchange);
    auto const now = base::mono_now();
    if (!self.configuration)
    {
        refuse(self, *exchange,
               {result_code::configuration_stale, "no configuration has been read yet"},
               retry_after_stale);
        return;
    }
    auto const head = platform::read_caller_head(*exchange, now);
    auto const call = platform::decode_batch_call(head.method, head.target);
    if (!call)
    {
        serve_request(self, exchange, head, now);
        return;
    }
    auto const team = authorize(self, head.api_key, nullptr, now);
    if (!team)
    {
        answer(self, *exchange, team.error());
        return;
    }
    handle_batch_call(self, exchange, *call, *team);
}

std::optional<http::rejection> check_claim(gateway& self, SoupServerMessage* message)
{
    if (!self.configuration)
    {
        return refuse_as_stale("no configuration has been read yet");
    }
    auto const now = base::mono_now();
    auto const claim = platform::read_request_claim(message);
    auto const* const route = fleet::find_route(*self.configuration, claim.host, claim.path);
    if (route == nullptr)
    {
        return deny_unknown_route(self, now);
    }
    auto const team = authorize(self, claim.api_key, route, now);
    if (!team)
    {
        count_error(self, info(team.error().error.code).name);
        return team.error();
    }
    return std::nullopt;
}

void end_callers(gateway& self)
{
    self.refuses_callers = true;
    end_requests(self);
    for (auto const& weak : std::exchange(self.open_exchanges, {}))
    {
        auto const exchange = weak.lock();
        if (exchange && !exchange->answered)
        {
            answer_error(
                self, *exchange, http::status::timeout,
                {result_code::outcome_unknown, "the gateway stopped before the outcome was known"});
        }
    }
}

void check_callers(gateway& self)
{
    // Moved out first because a handler may add to the list.
    auto const open = std::move(self.open_exchanges);
    self.open_exchanges.clear();
    for (auto const& weak : open)
    {
        auto const exchange = weak.lock();
        if (!exchange || exchange->answered || exchange->disconnected)
        {
            continue;
        }
        if (!http::is_caller_disconnected(*exchange))
        {
            self.open_exchanges.push_back(weak);
            continue;
        }
        exchange->disconnected = true;
        if (auto const on_disconnected = std::exchange(exchange->on_disconnected, nullptr))
        {
            on_disconnected();
        }
    }
}

} // namespace gooseberrywood::gateway
