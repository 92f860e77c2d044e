#include "lease/leadership.hpp"

#include "lease/drift_margin.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrywood::lease
{

namespace
{

using base::result_code;

// A lease is renewed after a third of its duration, and a call times out after a quarter of it.
// This leaves time for two calls that time out.
constexpr int renewals_per_lease = 3;
constexpr int calls_per_lease = 4;

// Attempts of a candidate to acquire a lease held by another process. With tens of candidates and a
// lease of 10 s, they cause far less than a tenth of the writes that the store can serve.
constexpr int attempts_per_lease = 4;

// Retries after an error of the store. They are frequent so that, after an outage, only a fraction
// of the lease duration passes before the next call.
constexpr int retries_per_lease = 20;

base::mono_time lease_deadline(leadership const& leader, base::mono_time sent_at)
{
    return sent_at + leader.options.lease_duration - drift_margin(leader.options.lease_duration);
}

void schedule_retry(leadership& leader, base::mono_time now)
{
    leader.next_at = now + leader.options.lease_duration / retries_per_lease;
}

void begin_term(leadership& leader, std::uint64_t fencing, base::mono_time sent_at,
                base::mono_time now)
{
    leader.fencing = fencing;
    leader.unresolved_since.reset();
    leader.deadline = lease_deadline(leader, sent_at);
    // The predecessor sent its last successful renewal before this grant, so its deadline is less
    // than one lease duration away, regardless of the store's clock.
    auto const wait = leader.options.lease_duration + leader.options.max_order_duration;
    leader.orders_allowed_at = now + wait + drift_margin(wait);
    leader.next_at = sent_at + leader.options.lease_duration / renewals_per_lease;
}

} // namespace

bool may_act(leadership const& leader, base::mono_time now)
{
    return leader.wanted && leader.fencing != 0 && now < leader.deadline;
}

bool may_send_orders(leadership const& leader, base::mono_time now)
{
    return may_act(leader, now) && now >= leader.orders_allowed_at;
}

std::optional<step> next_step(leadership& leader, base::mono_time now)
{
    bool const must_release = !leader.wanted && leader.fencing != 0;
    if (leader.in_flight || (now < leader.next_at && !must_release) ||
        (!leader.wanted && !must_release))
    {
        return std::nullopt;
    }
    // A grant that is read back after its deadline can't be used.
    if (leader.unresolved_since && now >= lease_deadline(leader, *leader.unresolved_since))
    {
        leader.unresolved_since.reset();
    }
    step next;
    if (must_release)
    {
        next.kind = step_kind::release;
    }
    else if (leader.unresolved_since)
    {
        next.kind = step_kind::read_back;
    }
    else if (leader.fencing != 0)
    {
        // Also after the local deadline: a renewal with the same fencing number proves that no
        // other process held the lease in the meantime.
        next.kind = step_kind::renew;
    }
    else
    {
        next.kind = step_kind::acquire;
        leader.holder = fmt::format("{}#{}", leader.options.holder, ++leader.acquisitions);
    }
    next.holder = leader.holder;
    next.fencing = leader.fencing;
    next.sent_at = now;
    next.deadline = now + leader.options.lease_duration / calls_per_lease;
    if (must_release)
    {
        // From now on the store may grant the lease to others, even if this process wants it
        // again.
        leader.fencing = 0;
    }
    leader.in_flight = next;
    return next;
}

void on_acquired(leadership& leader, base::result<std::uint64_t> const& fencing,
                 base::mono_time now)
{
    auto const sent_at = leader.in_flight->sent_at;
    leader.in_flight.reset();
    if (fencing)
    {
        begin_term(leader, *fencing, sent_at, now);
    }
    else if (fencing.error().code == result_code::store_outcome_unknown)
    {
        leader.unresolved_since = sent_at;
        leader.next_at = now;
    }
    else if (fencing.error().code == result_code::compare_failed)
    {
        leader.next_at = now + leader.options.lease_duration / attempts_per_lease;
    }
    else
    {
        schedule_retry(leader, now);
    }
}

void on_read_back(leadership& leader, base::result<provider::lease_state> const& state,
                  base::mono_time now)
{
    leader.in_flight.reset();
    if (!state)
    {
        schedule_retry(leader, now);
        return;
    }
    auto const sent_at = *leader.unresolved_since;
    leader.unresolved_since.reset();
    if (state->holder == leader.holder)
    {
        begin_term(leader, state->fencing, sent_at, now);
    }
    else
    {
        leader.next_at = now + leader.options.lease_duration / attempts_per_lease;
    }
}

void on_renewed(leadership& leader, base::result<void> const& outcome, base::mono_time now)
{
    auto const sent_at = leader.in_flight->sent_at;
    leader.in_flight.reset();
    if (outcome)
    {
        leader.deadline = std::max(leader.deadline, lease_deadline(leader, sent_at));
        leader.next_at = sent_at + leader.options.lease_duration / renewals_per_lease;
    }
    else if (outcome.error().code == result_code::lease_lost)
    {
        leader.fencing = 0;
        leader.next_at = now;
    }
    else
    {
        // A renewal can safely be repeated, so a lost response needs no read-back.
        schedule_retry(leader, now);
    }
}

void on_released(leadership& leader, base::mono_time now)
{
    // A release whose response is lost need not be repeated, since the lease expires by itself.
    leader.in_flight.reset();
    leader.next_at = now;
}

} // namespace gooseberrywood::lease
