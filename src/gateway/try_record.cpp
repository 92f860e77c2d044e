#include "gateway/try_record.hpp"

#include "base/log.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/measure.hpp"
#include "http/status.hpp"

#include <array>
#include <string_view>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;

void log_try(gateway& self, routed_request const& request, routed_try const& ended,
             fleet::try_outcome outcome, http::fetch_outcome const& answer)
{
    constexpr std::array<std::string_view, 4> names = {"answered", "failed", "not_run", "lost"};
    count_try(self, request.spec.service, names.at(static_cast<std::size_t>(outcome)));
    if (outcome == fleet::try_outcome::answered)
    {
        return;
    }
    base::log_line(base::log_level::info, "try_ended",
                   {{"request", request.spec.request_id},
                    {"upstream", ended.upstream},
                    {"outcome", names.at(static_cast<std::size_t>(outcome))},
                    {"status", answer ? std::int64_t{answer->status} : 0},
                    {"reason", answer ? "" : answer.error().why.message},
                    {"runs", std::int64_t{request.runs}}});
}

/// Tells the crash watch how a try ended.
void note_try(gateway& self, routed_request& request, routed_try const& ended,
              fleet::try_outcome outcome, http::fetch_outcome const& answer)
{
    if (!answer)
    {
        bool const is_broken = answer.error().sent && !answer.error().timed_out &&
                               answer.error().why.code == result_code::connection_lost;
        if (is_broken)
        {
            note_broken_try(self, request.spec, ended);
        }
        return;
    }
    // Other answers may come from elsewhere: they don't tell that the upstream lives.
    if (outcome == fleet::try_outcome::answered || outcome == fleet::try_outcome::failed)
    {
        note_upstream_answered(self, ended);
    }
    if (outcome == fleet::try_outcome::answered && http::status::is_success(answer->status))
    {
        note_served(self, request.spec);
    }
}

} // namespace

fleet::try_outcome outcome_of(http::fetch_outcome const& answer,
                              platform::response_head const& head, std::string const& request_id)
{
    using fleet::try_outcome;
    if (!answer)
    {
        return answer.error().sent ? try_outcome::lost : try_outcome::not_run;
    }
    // The answer belongs to an earlier request on this connection, or to no request.
    if (head.request_id && *head.request_id != request_id)
    {
        return try_outcome::lost;
    }
    if (head.not_run)
    {
        return try_outcome::not_run;
    }
    if (http::status::is_success(answer->status) && (!head.server_stamp || !head.request_id))
    {
        return try_outcome::lost;
    }
    return http::status::is_server_error(answer->status) ? try_outcome::failed
                                                         : try_outcome::answered;
}

void record_try(gateway& self, routed_request& request, routed_try const& ended,
                fleet::try_outcome outcome, http::fetch_outcome const& answer)
{
    log_try(self, request, ended, outcome, answer);
    note_try(self, request, ended, outcome, answer);
}

} // namespace gooseberrywood::gateway
