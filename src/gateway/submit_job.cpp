#include "gateway/submit_job.hpp"

#include "base/log.hpp"
#include "gateway/answer_caller.hpp"
#include "gateway/choose_owner.hpp"
#include "gateway/job_notices.hpp"
#include "gateway/job_running.hpp"
#include "http/status.hpp"
#include "platform/batch_calls.hpp"
#include "rollout/store_keys.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;

// Values in the store hold less than 1 MiB.
constexpr std::size_t spec_part_bytes = 900'000;

struct submission
{
    shared_exchange exchange;
    rollout::job_record record;
    rollout::batch_job spec;
    /// Who is to run it.
    rollout::member owner;
    store::transaction write;
    int tries = 0;
    /// A try without an answer may have taken effect.
    bool may_be_stored = false;
    base::event_source timer;
};

using shared_submission = std::shared_ptr<submission>;

/// The model of a job's samples: a job is one step of one trainer.
std::string model_of(rollout::batch_job const& job)
{
    return job.samples.empty() ? std::string() : job.samples.front().model;
}

std::uint64_t expected_tokens(rollout::batch_job const& job)
{
    return std::accumulate(job.samples.begin(), job.samples.end(), std::uint64_t{0},
                           [](std::uint64_t so_far, rollout::sample_spec const& one)
                           { return so_far + one.expected_tokens; });
}

store::transaction submission_write(rollout::job_record const& record, rollout::member const& owner,
                                    std::string_view body)
{
    store::transaction write;
    write.expected.push_back({rollout::record_key(record.id), 0});
    write.writes.push_back({rollout::record_key(record.id), rollout::encode(record), 0});
    write.writes.push_back(
        {rollout::owner_key(record.id), rollout::owner_mark(owner.host, owner.lease), owner.lease});
    for (std::size_t part = 0; part * spec_part_bytes < body.size(); ++part)
    {
        write.writes.push_back({rollout::spec_key(record.id, part),
                                std::string(body.substr(part * spec_part_bytes, spec_part_bytes)),
                                0});
    }
    return write;
}

void send_submission(gateway& self, shared_submission const& what);

void on_conflict(gateway& self, submission const& what, store::commit const& outcome)
{
    auto const& current = outcome.current;
    auto const key = rollout::record_key(what.record.id);
    auto const at = std::find_if(current.begin(), current.end(),
                                 [&](store::item const& one) { return one.key == key; });
    auto const record =
        at != current.end() ? rollout::decode_job_record(what.record.id, at->value) : std::nullopt;
    if (!record || record->team != what.record.team)
    {
        answer_error(self, *what.exchange, http::status::bad_request,
                     {result_code::duplicate_attempt, "the id of the batch job is taken"});
        return;
    }
    base::log_line(base::log_level::info, "job_known", {{"job", what.record.id}});
    self.shared.records[what.record.id] = {*record, at->revision};
    answer_empty(*what.exchange, http::status::accepted);
}

void on_submission_failed(gateway& self, shared_submission const& what, base::error const& cause)
{
    base::log_line(base::log_level::warning, "job_not_stored",
                   {{"job", what->record.id}, {"code", cause.code}, {"reason", cause.message}});
    what->may_be_stored |= cause.code == result_code::store_outcome_unknown;
    bool const is_own = what->owner.host == self.settings.host;
    if (cause.code == result_code::lease_lost && !is_own && has_lease(self, base::mono_now()))
    {
        // The member that was chosen has gone meanwhile.
        what->owner = own_member(self);
        what->write = submission_write(what->record, what->owner, what->exchange->body);
        send_submission(self, what);
        return;
    }
    if (!what->may_be_stored)
    {
        answer_store_unavailable(self, *what->exchange, cause);
        return;
    }
    if (what->tries < max_store_attempts)
    {
        what->timer = base::at(base::mono_now() + store_retry_delay,
                               [&self, what] { send_submission(self, what); });
        return;
    }
    answer_error(self, *what->exchange, http::status::timeout, cause);
}

void on_submitted(gateway& self, shared_submission const& what,
                  base::result<store::commit> const& outcome)
{
    if (!outcome)
    {
        on_submission_failed(self, what, outcome.error());
        return;
    }
    if (!outcome->done)
    {
        on_conflict(self, *what, *outcome);
        return;
    }
    base::log_line(base::log_level::info, "job_accepted",
                   {{"job", what->record.id},
                    {"team", what->record.team},
                    {"samples", static_cast<std::int64_t>(what->record.samples)}});
    self.shared.records[what->record.id] = {what->record, outcome->revision};
    self.shared.owners[what->record.id] = {rollout::owner_key(what->record.id),
                                           rollout::owner_mark(what->owner.host, what->owner.lease),
                                           outcome->revision};
    answer_empty(*what->exchange, http::status::accepted);
    if (what->owner.host == self.settings.host)
    {
        start_submitted_job(self, what->record, std::move(what->spec), outcome->revision);
        return;
    }
    notify_owner(self, what->owner, what->record, outcome->revision);
}

void send_submission(gateway& self, shared_submission const& what)
{
    ++what->tries;
    self.store.commit_all(what->write, base::mono_now() + caller_store_timeout,
                          [&self, what](base::result<store::commit> const& outcome)
                          { on_submitted(self, what, outcome); });
}

} // namespace

void submit_job(gateway& self, shared_exchange const& exchange, platform::caller_head const& head,
                fleet::route const& route, std::string const& team)
{
    auto spec = platform::decode_batch_job(exchange->body);
    if (!spec || head.request_id.empty())
    {
        answer_error(self, *exchange, http::status::bad_request,
                     spec ? base::error{result_code::bad_request, "the batch job has no id"}
                          : spec.error());
        return;
    }
    auto const known = self.shared.records.find(head.request_id);
    if (known != self.shared.records.end() && known->second.record.team == team)
    {
        answer_empty(*exchange, http::status::accepted);
        return;
    }
    if (!has_lease(self, base::mono_now()) || self.stopping)
    {
        answer_store_unavailable(self, *exchange,
                                 {result_code::store_unavailable, "this gateway has no lease"});
        return;
    }
    auto const what = std::make_shared<submission>();
    what->exchange = exchange;
    what->record = {
        head.request_id,      team,  head.host,       exchange->path,      base::wall_now(),
        spec->samples.size(), false, model_of(*spec), spec->least_version, expected_tokens(*spec)};
    what->owner = choose_owner(self, what->record);
    what->write = submission_write(what->record, what->owner, exchange->body);
    what->spec = std::move(*spec);
    base::log_line(base::log_level::debug, "job_submitted",
                   {{"job", head.request_id}, {"route", route.name}});
    send_submission(self, what);
}

} // namespace gooseberrywood::gateway
