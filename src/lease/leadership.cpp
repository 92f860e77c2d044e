#include "lease/leadership.hpp"

#include "lease/drift_margin.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrywood::lease
{

namespace
{

using base::result_code;

// A renewal after a third of the lease leaves room for two calls that time out.
constexpr int renewals_per_lease = 3;
constexpr int calls_per_lease = 4;

// Candidates ask so often for a lease that another process holds. With tens of candidates and a
// lease of 10 s, that is far below a tenth of the writes that the store serves.
constexpr int attempts_per_lease = 4;

// After an error of the store. An outage must not cost more than a part of the lease once it ends.
constexpr int retries_per_lease = 20;

base::mono_time lease_deadline(leadership const& of, base::mono_time sent_at)
{
    return sent_at + of.options.length - drift_margin(of.options.length);
}

void retry_soon(leadership& of, base::mono_time now)
{
    of.next_at = now + of.options.length / retries_per_lease;
}

void begin_term(leadership& of, std::uint64_t fencing, base::mono_time sent_at, base::mono_time now)
{
    of.fencing = fencing;
    of.unresolved_since.reset();
    of.deadline = lease_deadline(of, sent_at);
    // The predecessor sent its last successful renewal before this grant, so its deadline is less
    // than a lease away, whatever the store's clock did.
    auto const wait = of.options.length + of.options.longest_order;
    of.start_at = now + wait + drift_margin(wait);
    of.next_at = sent_at + of.options.length / renewals_per_lease;
}

} // namespace

bool may_act(leadership const& of, base::mono_time now)
{
    return of.wanted && of.fencing != 0 && now < of.deadline;
}

bool safe_to_start(leadership const& of, base::mono_time now)
{
    return may_act(of, now) && now >= of.start_at;
}

std::optional<step> next_step(leadership& of, base::mono_time now)
{
    bool const must_release = !of.wanted && of.fencing != 0;
    if (of.in_flight || (now < of.next_at && !must_release) || (!of.wanted && !must_release))
    {
        return std::nullopt;
    }
    // A grant that is read back after its deadline is of no use.
    if (of.unresolved_since && now >= lease_deadline(of, *of.unresolved_since))
    {
        of.unresolved_since.reset();
    }
    step next;
    if (must_release)
    {
        next.kind = step_kind::release;
    }
    else if (of.unresolved_since)
    {
        next.kind = step_kind::read_back;
    }
    else if (of.fencing != 0)
    {
        // Also after the local deadline: a renewal under the same number proves that nobody else
        // held the lease in between.
        next.kind = step_kind::renew;
    }
    else
    {
        next.kind = step_kind::acquire;
        of.holder = fmt::format("{}#{}", of.options.holder, ++of.acquisitions);
    }
    next.holder = of.holder;
    next.fencing = of.fencing;
    next.sent_at = now;
    next.deadline = now + of.options.length / calls_per_lease;
    if (must_release)
    {
        // From here on the store may let others in, even if this process wants the lease again.
        of.fencing = 0;
    }
    of.in_flight = next;
    return next;
}

void on_acquired(leadership& of, base::result<std::uint64_t> const& fencing, base::mono_time now)
{
    auto const sent_at = of.in_flight->sent_at;
    of.in_flight.reset();
    if (fencing)
    {
        begin_term(of, *fencing, sent_at, now);
    }
    else if (fencing.error().code == result_code::store_outcome_unknown)
    {
        of.unresolved_since = sent_at;
        of.next_at = now;
    }
    else if (fencing.error().code == result_code::compare_failed)
    {
        of.next_at = now + of.options.length / attempts_per_lease;
    }
    else
    {
        retry_soon(of, now);
    }
}

void on_read_back(leadership& of, base::result<provider::lease_state> const& state,
                  base::mono_time now)
{
    of.in_flight.reset();
    if (!state)
    {
        retry_soon(of, now);
        return;
    }
    auto const sent_at = *of.unresolved_since;
    of.unresolved_since.reset();
    if (state->holder == of.holder)
    {
        begin_term(of, state->fencing, sent_at, now);
    }
    else
    {
        of.next_at = now + of.options.length / attempts_per_lease;
    }
}

void on_renewed(leadership& of, base::result<void> const& outcome, base::mono_time now)
{
    auto const sent_at = of.in_flight->sent_at;
    of.in_flight.reset();
    if (outcome)
    {
        of.deadline = std::max(of.deadline, lease_deadline(of, sent_at));
        of.next_at = sent_at + of.options.length / renewals_per_lease;
    }
    else if (outcome.error().code == result_code::lease_lost)
    {
        of.fencing = 0;
        of.next_at = now;
    }
    else
    {
        // Sending a renewal again does no harm, so a lost answer needs no reading back.
        retry_soon(of, now);
    }
}

void on_released(leadership& of, base::mono_time now)
{
    // A release whose answer is lost needs no second one: the lease lapses by itself.
    of.in_flight.reset();
    of.next_at = now;
}

} // namespace gooseberrywood::lease
