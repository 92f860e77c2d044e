#include "admission/ledger.hpp"

#include <algorithm>
#include <optional>

namespace gooseberrywood::admission
{

namespace
{

/// Whether an attempt has provably not started and can't start any more. Requires that it is not
/// above the highest one.
bool never_started(ledger_entry const& entry, std::uint32_t attempt)
{
    if (attempt == entry.attempt)
    {
        return entry.state == attempt_state::tombstone;
    }
    // For an attempt between two started ones the ledger can't tell.
    return entry.first_started > attempt;
}

void insert(ledger& attempts, base::request_id const& id, ledger_entry const& entry,
            base::mono_time now)
{
    attempts.entries.emplace(id, entry);
    detail::add(attempts.wheel, id, entry.horizon, now);
}

} // namespace

admit_result admit(ledger& attempts, base::request_id const& id, std::uint32_t attempt,
                   bool idempotent, base::mono_time deadline, base::mono_time now)
{
    expire(attempts, now);
    if (attempt == ledger_entry::none)
    {
        return {base::result_code::bad_request, false};
    }
    auto const found = attempts.entries.find(id);
    if (found != attempts.entries.end())
    {
        auto& entry = found->second;
        if (attempt <= entry.attempt)
        {
            return {entry.state == attempt_state::tombstone ? base::result_code::fenced
                                                            : base::result_code::duplicate_attempt,
                    never_started(entry, attempt)};
        }
        if (!idempotent && entry.first_started != ledger_entry::none)
        {
            // "Not run" would be true of this attempt but would cause the entry to send another
            // one.
            return {base::result_code::duplicate_attempt, false};
        }
    }
    if (deadline <= now)
    {
        return {base::result_code::deadline_passed,
                write_tombstone(attempts, id, attempt, deadline, now)};
    }
    if (found != attempts.entries.end())
    {
        auto& entry = found->second;
        entry.attempt = attempt;
        entry.state = attempt_state::queued;
        entry.horizon = std::max(entry.horizon, deadline + horizon_margin);
        return {};
    }
    if (is_full(attempts))
    {
        return {base::result_code::ledger_full,
                write_tombstone(attempts, id, attempt, deadline, now)};
    }
    insert(attempts, id,
           {attempt, ledger_entry::none, attempt_state::queued, deadline + horizon_margin}, now);
    return {};
}

bool write_tombstone(ledger& attempts, base::request_id const& id, std::uint32_t attempt,
                     base::mono_time deadline, base::mono_time now)
{
    auto const horizon = deadline + horizon_margin;
    auto const found = attempts.entries.find(id);
    if (found == attempts.entries.end())
    {
        // Past the horizon the entry of an earlier run may have been dropped already.
        if (horizon <= now || attempts.entries.size() >= attempts.settings.max_entries)
        {
            return false;
        }
        insert(attempts, id, {attempt, ledger_entry::none, attempt_state::tombstone, horizon}, now);
        return true;
    }
    auto& entry = found->second;
    if (attempt < entry.attempt)
    {
        return never_started(entry, attempt);
    }
    if (attempt == entry.attempt && entry.state != attempt_state::queued)
    {
        return entry.state == attempt_state::tombstone;
    }
    entry.attempt = attempt;
    entry.state = attempt_state::tombstone;
    entry.horizon = std::max(entry.horizon, horizon);
    return true;
}

bool mark_running(ledger& attempts, base::request_id const& id, std::uint32_t attempt)
{
    auto const found = attempts.entries.find(id);
    if (found == attempts.entries.end() || found->second.attempt != attempt ||
        found->second.state != attempt_state::queued)
    {
        return false;
    }
    found->second.state = attempt_state::running;
    found->second.first_started = std::min(found->second.first_started, attempt);
    return true;
}

void mark_done(ledger& attempts, base::request_id const& id, std::uint32_t attempt)
{
    auto const found = attempts.entries.find(id);
    if (found != attempts.entries.end() && found->second.attempt == attempt &&
        found->second.state == attempt_state::running)
    {
        found->second.state = attempt_state::done;
    }
}

bool fence(ledger& attempts, base::request_id const& id, std::uint32_t attempt, base::mono_time now)
{
    expire(attempts, now);
    auto const horizon = now + attempts.settings.longest_request + horizon_margin;
    auto const found = attempts.entries.find(id);
    if (found == attempts.entries.end())
    {
        if (attempts.entries.size() >= attempts.settings.max_entries)
        {
            return true;
        }
        insert(attempts, id, {attempt, ledger_entry::none, attempt_state::tombstone, horizon}, now);
        return false;
    }
    auto& entry = found->second;
    if (entry.first_started <= attempt)
    {
        return true;
    }
    if (attempt >= entry.attempt)
    {
        entry.attempt = attempt;
        entry.state = attempt_state::tombstone;
        entry.horizon = std::max(entry.horizon, horizon);
    }
    return false;
}

void expire(ledger& attempts, base::mono_time now)
{
    detail::advance(attempts.wheel, now,
                    [&](base::request_id const& id) -> std::optional<base::mono_time>
                    {
                        auto const found = attempts.entries.find(id);
                        if (found->second.horizon > now)
                        {
                            return found->second.horizon;
                        }
                        if (found->second.state == attempt_state::running ||
                            found->second.state == attempt_state::queued)
                        {
                            return now + horizon_margin;
                        }
                        attempts.entries.erase(found);
                        return std::nullopt;
                    });
}

ledger_entry const* find(ledger const& attempts, base::request_id const& id)
{
    auto const found = attempts.entries.find(id);
    return found == attempts.entries.end() ? nullptr : &found->second;
}

bool is_full(ledger const& attempts)
{
    return attempts.entries.size() + attempts.settings.tombstone_reserve >=
           attempts.settings.max_entries;
}

} // namespace gooseberrywood::admission
