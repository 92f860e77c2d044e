#include "fleet/service_queue.hpp"

#include "admission/latest_dispatch.hpp"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace gooseberrywood::fleet
{

namespace
{

// Divisor of the time until a request is due, for its dispatch deadline when nothing is known about
// the next free slot.
constexpr int unmeasured_divisor = 5;

// Fewer intervals are not representative: requests that were sent together end together.
constexpr std::uint32_t min_intervals = 8;

// Slow phases of upstreams last a few seconds.
constexpr base::duration max_interval_age = std::chrono::seconds(3);

/// Classes of waiting requests, in the order of their dispatch.
enum class dispatch_class : std::uint8_t
{
    caller,
    reward,
    deferred,
};

/// Place of a request in the order.
struct placed_request
{
    dispatch_class rank{};
    std::uint32_t priority = 0;
    /// Number of requests of the same team before it.
    std::size_t round = 0;
    /// Last turn of its team.
    std::uint64_t turn = 0;
    waiting_request const* request = nullptr;
};

service_queue::turn_key turn_key_of(waiting_request const& request)
{
    return {request.is_reward, request.team};
}

placed_request place(service_queue const& queue, waiting_request const& request,
                     base::mono_time now)
{
    auto const last = queue.turns.find(turn_key_of(request));
    auto const turn = last != queue.turns.end() ? last->second : 0;
    if (request.is_deferred)
    {
        return {dispatch_class::deferred, request.priority, 0, turn, &request};
    }
    if (!request.is_reward)
    {
        return {dispatch_class::caller, request.priority, 0, turn, &request};
    }
    if (now - request.entered_at >= reward_promotion_wait)
    {
        return {dispatch_class::caller, 0, 0, turn, &request};
    }
    return {dispatch_class::reward, request.priority, 0, turn, &request};
}

bool is_same_line(placed_request const& a, placed_request const& b)
{
    return a.rank == b.rank && a.priority == b.priority &&
           a.request->is_reward == b.request->is_reward && a.request->team == b.request->team;
}

/// Numbers the requests of each team within a class and priority, earliest deadline first.
void assign_rounds(std::vector<placed_request>& places)
{
    auto const key = [](placed_request const& one)
    {
        return std::tuple(one.rank, one.priority, one.request->is_reward,
                          std::string_view(one.request->team), one.request->dispatch_deadline,
                          one.request->number);
    };
    std::sort(places.begin(), places.end(),
              [&](auto const& a, auto const& b) { return key(a) < key(b); });
    for (std::size_t i = 1; i < places.size(); ++i)
    {
        places[i].round = is_same_line(places[i - 1], places[i]) ? places[i - 1].round + 1 : 0;
    }
}

/// Whether a request of a caller waits that may be refused. One that may have run waits for certain
/// upstreams only, so that slots that become free meanwhile tell nothing about the others.
bool has_waiting_caller(service_queue const& queue)
{
    return std::any_of(queue.waiting.begin(), queue.waiting.end(),
                       [](auto const& entry)
                       { return !entry.second.is_reward && entry.second.may_be_refused; });
}

bool has_interval(service_queue const& queue, base::mono_time now)
{
    return queue.measured_intervals >= min_intervals &&
           now - queue.interval_measured_at <= max_interval_age;
}

void observe_interval(service_queue& queue, base::duration interval, base::mono_time now)
{
    if (now - queue.interval_measured_at > max_interval_age)
    {
        queue.slot_interval = {};
        queue.measured_intervals = 0;
    }
    admission::observe(queue.slot_interval, interval, 1);
    ++queue.measured_intervals;
    queue.interval_measured_at = now;
}

/// Whether a request can't be dispatched in time when `wait` is expected for it.
/// \param wait zero when nothing is known.
bool is_unreachable(service_queue const& queue, waiting_request const& request,
                    service_load const& load, base::duration wait, base::mono_time now)
{
    // Without a measured rate, an upstream that opens before may take many requests at once.
    bool const may_open = !has_interval(queue, now) && load.opens_at < request.dispatch_deadline;
    return !request.is_reward && request.may_be_refused && !may_open &&
           now + wait > request.dispatch_deadline;
}

} // namespace

void enter(service_queue& queue, waiting_request request)
{
    auto const number = request.number;
    queue.waiting.insert_or_assign(number, std::move(request));
}

void leave(service_queue& queue, std::uint64_t number)
{
    queue.waiting.erase(number);
    if (queue.freed_at && !has_waiting_caller(queue))
    {
        queue.freed_at.reset();
    }
    if (queue.waiting.empty())
    {
        queue.turns.clear();
    }
}

void note_dispatched(service_queue& queue, std::uint64_t number)
{
    if (auto const found = queue.waiting.find(number); found != queue.waiting.end())
    {
        queue.turns[turn_key_of(found->second)] = ++queue.last_turn;
        leave(queue, number);
    }
}

void note_slot_freed(service_queue& queue, base::duration service_time, base::mono_time now)
{
    admission::observe(queue.service_time, service_time, 1);
    if (!has_waiting_caller(queue))
    {
        return;
    }
    if (queue.freed_at)
    {
        observe_interval(queue, now - *queue.freed_at, now);
    }
    queue.freed_at = now;
}

std::vector<std::uint64_t> dispatch_order(service_queue const& queue, base::mono_time now)
{
    std::vector<placed_request> places;
    places.reserve(queue.waiting.size());
    for (auto const& [number, request] : queue.waiting)
    {
        places.push_back(place(queue, request, now));
    }
    assign_rounds(places);
    auto const key = [](placed_request const& one)
    {
        return std::tuple(one.rank, one.priority, one.round, one.turn,
                          one.request->dispatch_deadline, one.request->number);
    };
    std::sort(places.begin(), places.end(),
              [&](auto const& a, auto const& b) { return key(a) < key(b); });
    std::vector<std::uint64_t> numbers;
    numbers.reserve(places.size());
    for (auto const& one : places)
    {
        numbers.push_back(one.request->number);
    }
    return numbers;
}

std::vector<early_refusal> refuse_unreachable(service_queue& queue, service_load const& load,
                                              base::mono_time now)
{
    std::vector<early_refusal> refused;
    if (!has_waiting_caller(queue))
    {
        return refused;
    }
    std::size_t kept = 0;
    for (auto const number : dispatch_order(queue, now))
    {
        auto const wait = expected_wait(queue, load, kept + 1, now);
        if (is_unreachable(queue, queue.waiting.at(number), load, wait, now))
        {
            refused.push_back({number, now + wait});
            continue;
        }
        ++kept;
    }
    for (auto const& one : refused)
    {
        leave(queue, one.number);
    }
    return refused;
}

std::vector<std::uint64_t> expire(service_queue& queue, base::mono_time now)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, request] : queue.waiting)
    {
        if (now >= request.dispatch_deadline)
        {
            numbers.push_back(number);
        }
    }
    for (auto const number : numbers)
    {
        leave(queue, number);
    }
    return numbers;
}

std::optional<base::mono_time> next_expiry(service_queue const& queue)
{
    std::optional<base::mono_time> earliest;
    for (auto const& [number, request] : queue.waiting)
    {
        earliest =
            std::min(earliest.value_or(request.dispatch_deadline), request.dispatch_deadline);
    }
    return earliest;
}

base::duration expected_wait(service_queue const& queue, service_load const& load,
                             std::size_t place, base::mono_time now)
{
    if (has_interval(queue, now))
    {
        return admission::expected_wait(queue.slot_interval, place, 1);
    }
    // Requests end at the rate at which they run, divided by the time that each of them takes.
    return load.running > 0 ? admission::expected_wait(queue.service_time, place, load.running)
                            : base::duration::zero();
}

base::mono_time caller_dispatch_deadline(service_queue const& queue, service_load const& load,
                                         base::mono_time due, base::mono_time now)
{
    auto const latest =
        admission::latest_dispatch(due, now, admission::expected_service(queue.service_time, 1));
    bool const may_free = load.running > 0 || load.opens_at <= latest;
    return queue.service_time.request_us > 0 && may_free ? latest
                                                         : now + (due - now) / unmeasured_divisor;
}

} // namespace gooseberrywood::fleet
