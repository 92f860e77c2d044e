#include "base/result_code.hpp"

#include <algorithm>
#include <array>

namespace gooseberrywood::base
{

namespace
{

using rc = result_code;

// Columns: code, name, HTTP status, exit code, not run, meaning.
constexpr std::array table = {
    result_code_info{rc::ok, "ok", 200, 0, false, "The operation succeeded."},
    result_code_info{rc::usage, "usage", 400, 2, false, "The command line is wrong."},
    result_code_info{rc::internal, "internal", 500, 70, false, "A fault in this program."},
    result_code_info{rc::io_error, "io_error", 500, 74, false,
                     "A file or socket could not be read or written."},
    result_code_info{rc::not_found, "not_found", 404, 4, false, "The named thing does not exist."},
    result_code_info{rc::timeout, "timeout", 504, 5, false, "No answer before the deadline."},
    result_code_info{rc::bad_request, "bad_request", 400, 65, true, "The request is malformed."},
    result_code_info{rc::request_too_large, "request_too_large", 413, 65, true,
                     "The request is larger than the limit."},
    result_code_info{rc::unknown_route, "unknown_route", 404, 4, true,
                     "No route serves this path or model."},
    result_code_info{rc::key_missing, "key_missing", 401, 77, true,
                     "The route needs a key and none was sent."},
    result_code_info{rc::key_unknown, "key_unknown", 401, 77, true,
                     "The key belongs to no team, or was withdrawn."},
    result_code_info{rc::key_not_allowed, "key_not_allowed", 403, 77, true,
                     "The team of this key may not use this route."},
    result_code_info{rc::overloaded, "overloaded", 429, 75, true,
                     "The queues are full; retry after the given time."},
    result_code_info{rc::team_queue_full, "team_queue_full", 429, 75, true,
                     "The team's share of the queue is full."},
    result_code_info{rc::deadline_passed, "deadline_passed", 504, 75, true,
                     "The deadline passed, or would pass, before the request could start."},
    result_code_info{rc::no_upstream, "no_upstream", 503, 75, true,
                     "No upstream of the route accepts work."},
    result_code_info{rc::shutting_down, "shutting_down", 503, 75, true,
                     "The process is stopping and takes no new work."},
    result_code_info{rc::domain_out, "domain_out", 503, 75, true,
                     "The failure domain was taken out."},
    result_code_info{rc::upstream_leaving, "upstream_leaving", 503, 75, true,
                     "The upstream is leaving."},
    result_code_info{rc::crash_suspect, "crash_suspect", 422, 65, true,
                     "Equal requests crashed two upstreams; this one was not run."},
    result_code_info{rc::duplicate_attempt, "duplicate_attempt", 409, 65, true,
                     "This attempt is known already or was fenced; the frame started nothing."},
    result_code_info{rc::ledger_full, "ledger_full", 503, 75, true,
                     "The agent's ledger cannot take another request."},
    result_code_info{rc::configuration_stale, "configuration_stale", 503, 75, true,
                     "The process cannot tell whether its configuration is still in force."},
    result_code_info{rc::retry_budget_spent, "retry_budget_spent", 503, 75, true,
                     "The request was refused and the retry budget is spent."},
    result_code_info{rc::stream_not_resumable, "stream_not_resumable", 503, 75, true,
                     "What began the stream is unknown, or nothing of that version serves."},
    result_code_info{rc::crashing_request, "crashing_request", 503, 75, true,
                     "Equal requests crashed three upstreams; this one was not run."},
    result_code_info{rc::request_timeout, "request_timeout", 408, 75, true,
                     "The request did not arrive completely in time."},
    result_code_info{rc::outcome_unknown, "outcome_unknown", 502, 76, false,
                     "The request may have run; its answer is lost."},
    result_code_info{rc::upstream_error, "upstream_error", 502, 76, false,
                     "The upstream answered with an error."},
    result_code_info{rc::upstream_crashed, "upstream_crashed", 502, 76, false,
                     "The upstream crashed while it ran the request."},
    result_code_info{rc::stream_incomplete, "stream_incomplete", 502, 76, false,
                     "The stream ended before its last token."},
    result_code_info{rc::key_withdrawn, "key_withdrawn", 401, 77, false,
                     "The key was withdrawn while the request ran."},
    result_code_info{rc::canceled, "canceled", 499, 76, false, "The caller went away."},
    result_code_info{rc::response_too_large, "response_too_large", 502, 76, false,
                     "The upstream's response exceeds a size limit."},
    result_code_info{rc::settings_invalid, "settings_invalid", 500, 78, false,
                     "The settings file has errors; nothing was applied."},
    result_code_info{rc::bundle_invalid, "bundle_invalid", 422, 78, false,
                     "The bundle has errors; nothing was applied."},
    result_code_info{rc::signature_invalid, "signature_invalid", 403, 78, false,
                     "The bundle's signature does not verify."},
    result_code_info{rc::version_conflict, "version_conflict", 409, 9, false,
                     "Another version was applied in the meantime."},
    result_code_info{rc::version_too_old, "version_too_old", 409, 9, false,
                     "The version is not newer than the one in force."},
    result_code_info{rc::not_in_force_everywhere, "not_in_force_everywhere", 504, 10, false,
                     "Accepted, but some processes did not report it in force in time."},
    result_code_info{rc::frame_too_large, "frame_too_large", 413, 76, false,
                     "A frame exceeds the limit; the connection was closed."},
    result_code_info{rc::frame_malformed, "frame_malformed", 400, 76, false,
                     "A frame does not verify; the connection was closed."},
    result_code_info{rc::protocol_mismatch, "protocol_mismatch", 400, 76, false,
                     "The peer speaks another protocol version."},
    result_code_info{rc::connection_lost, "connection_lost", 502, 76, false,
                     "The connection to a peer broke."},
    result_code_info{rc::peer_silent, "peer_silent", 504, 76, false,
                     "The peer sent nothing for too long."},
    result_code_info{rc::store_unavailable, "store_unavailable", 503, 69, false,
                     "The platform's store does not answer; nothing was written."},
    result_code_info{rc::store_outcome_unknown, "store_outcome_unknown", 502, 69, false,
                     "The platform's store gave no answer to a write; it may have taken effect."},
    result_code_info{rc::compare_failed, "compare_failed", 409, 9, false,
                     "The stored value is not the expected one."},
    result_code_info{rc::lease_lost, "lease_lost", 409, 9, false,
                     "The lease lapsed or has another holder."},
    result_code_info{rc::fenced, "fenced", 409, 9, false,
                     "A newer fencing number was seen; the order was refused."},
    result_code_info{rc::platform_refused, "platform_refused", 502, 69, false,
                     "The platform refused the call."},
};

constexpr bool is_ascending()
{
    for (std::size_t i = 1; i < table.size(); ++i)
    {
        if (table[i - 1].code >= table[i].code)
        {
            return false;
        }
    }
    return true;
}

static_assert(is_ascending(), "result codes are listed once each, in ascending order");

result_code_info const* find(std::uint16_t number)
{
    auto const at = std::lower_bound(table.begin(), table.end(), number,
                                     [](result_code_info const& row, std::uint16_t wanted)
                                     { return static_cast<std::uint16_t>(row.code) < wanted; });
    bool const known = at != table.end() && static_cast<std::uint16_t>(at->code) == number;
    return known ? &*at : nullptr;
}

} // namespace

std::span<result_code_info const> result_codes()
{
    return table;
}

result_code_info const& info(result_code code)
{
    auto const* row = find(static_cast<std::uint16_t>(code));
    return row != nullptr ? *row : info(result_code::internal);
}

std::optional<result_code> result_code_from(std::uint16_t number)
{
    auto const* row = find(number);
    return row != nullptr ? std::optional{row->code} : std::nullopt;
}

} // namespace gooseberrywood::base
