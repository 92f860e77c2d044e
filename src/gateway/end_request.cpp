#include "gateway/end_request.hpp"

#include "gateway/crash_watch.hpp"
#include "gateway/request_costs.hpp"
#include "gateway/request_queue.hpp"
#include "gateway/route_request.hpp"

#include <utility>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;

void note_abandoned_tries(gateway& self, routed_request& request)
{
    for (auto const& [index, running] : request.running_tries)
    {
        if (http::is_sent(*running.fetch))
        {
            note_abandoned_try(self, request.spec, running);
        }
    }
}

} // namespace

routed_request* find_request(gateway& self, std::uint64_t number)
{
    auto const it = self.requests.find(number);
    return it != self.requests.end() ? it->second.get() : nullptr;
}

void finish(gateway& self, routed_request& request, routed_outcome outcome)
{
    outcome.started_at = request.started_at;
    outcome.tries = request.tries;
    for (auto const& [number, running] : request.running_tries)
    {
        if (http::is_sent(*running.fetch))
        {
            note_abandoned_cost(self, running, base::mono_now());
        }
        release_try(self, request.spec, running);
    }
    stop_waiting(self, request);
    // Keeps the request alive until the handler has returned: the caller's frame may use it.
    auto const it = self.requests.find(request.number);
    auto const owned = std::move(it->second);
    self.requests.erase(it);
    owned->running_tries.clear();
    owned->done(std::move(outcome));
}

void finish_without_answer(gateway& self, routed_request& request, outcome_kind kind,
                           result_code code, std::string message)
{
    routed_outcome outcome;
    outcome.kind = kind;
    outcome.error = {code, std::move(message)};
    outcome.refused_until = kind == outcome_kind::refused ? request.retry_at : std::nullopt;
    finish(self, request, std::move(outcome));
}

void finish_with_tries(gateway& self, routed_request& request)
{
    if (request.failed_answer)
    {
        auto answer = std::move(*request.failed_answer);
        finish(self, request, std::move(answer));
        return;
    }
    finish_without_answer(self, request, outcome_kind::unknown, result_code::outcome_unknown,
                          "the upstream's answer was lost");
}

void end_at_deadline(gateway& self, routed_request& request)
{
    note_abandoned_tries(self, request);
    if (request.runs == 0)
    {
        finish_without_answer(self, request, outcome_kind::refused, result_code::deadline_passed,
                              "no upstream was free before the deadline");
        return;
    }
    if (!request.started_at)
    {
        // Sent but not answered, so it must count as run.
        request.started_at = request.running_tries.begin()->second.started_at;
    }
    if (request.failed_answer)
    {
        finish_with_tries(self, request);
        return;
    }
    finish_without_answer(self, request, outcome_kind::unknown, result_code::deadline_passed,
                          "no upstream answered before the deadline");
}

void end_waiting(gateway& self, std::uint64_t number, std::optional<base::mono_time> retry_at)
{
    auto* const request = find_request(self, number);
    if (request == nullptr)
    {
        return;
    }
    // If the request may have run, the tries so far decide the outcome.
    if (request->runs > 0)
    {
        finish_with_tries(self, *request);
        return;
    }
    request->retry_at = retry_at;
    finish_without_answer(self, *request, outcome_kind::refused, result_code::overloaded,
                          "no upstream accepted the request");
}

void end_requests(gateway& self)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, request] : self.requests)
    {
        numbers.push_back(number);
    }
    for (auto const number : numbers)
    {
        if (auto* const found = find_request(self, number))
        {
            end_at_deadline(self, *found);
        }
    }
}

std::optional<base::wall_time> cancel_request(gateway& self, std::uint64_t number)
{
    auto const it = self.requests.find(number);
    if (it == self.requests.end())
    {
        return std::nullopt;
    }
    auto started_at = it->second->started_at;
    note_abandoned_tries(self, *it->second);
    stop_waiting(self, *it->second);
    for (auto const& [index, running] : it->second->running_tries)
    {
        release_try(self, it->second->spec, running);
        started_at = started_at.value_or(running.started_at);
    }
    self.requests.erase(it);
    return started_at;
}

void cancel_requests_if(gateway& self, std::function<bool(routed_spec const&)> const& condition)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, request] : self.requests)
    {
        if (condition(request->spec))
        {
            numbers.push_back(number);
        }
    }
    for (auto const number : numbers)
    {
        (void)cancel_request(self, number);
    }
}

} // namespace gooseberrywood::gateway
