#include "gateway/submit_job.hpp"

#include "base/log.hpp"
#include "gateway/answer_caller.hpp"
#include "gateway/choose_owner.hpp"
#include "gateway/job_memory.hpp"
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

// The store limits values to less than 1 MiB.
constexpr std::size_t spec_part_bytes = 900'000;

// Trainers end a job within seconds.
constexpr base::duration retry_after_jobs_full = std::chrono::seconds(1);

/// A submitted job, until its caller is answered.
struct pending_submission
{
    shared_exchange exchange;
    rollout::job_record record;
    rollout::batch_job spec;
    /// Member that the job is assigned to.
    rollout::member owner;
    store::transaction write;
    int attempts = 0;
    /// An attempt with an unknown outcome may have taken effect.
    bool may_be_stored = false;
    base::event_source timer;
};

using shared_submission = std::shared_ptr<pending_submission>;

/// Model of all samples of a job: a job is one step of one trainer.
std::string model_of(rollout::batch_job const& job)
{
    return job.samples.empty() ? std::string() : job.samples.front().model;
}

std::uint64_t expected_tokens(rollout::batch_job const& job)
{
    return std::accumulate(job.samples.begin(), job.samples.end(), std::uint64_t{0},
                           [](std::uint64_t sum, rollout::sample_spec const& sample)
                           { return sum + sample.expected_tokens; });
}

store::transaction submission_transaction(rollout::job_record const& record,
                                          rollout::member const& owner, std::string_view body)
{
    store::transaction write;
    write.expected.push_back({rollout::record_key(record.id), 0});
    write.writes.push_back({rollout::record_key(record.id), rollout::encode(record), 0});
    write.writes.push_back(
        {rollout::owner_key(record.id), rollout::owner_id(owner.host, owner.lease), owner.lease});
    for (std::size_t part = 0; part * spec_part_bytes < body.size(); ++part)
    {
        write.writes.push_back({rollout::spec_key(record.id, part),
                                std::string(body.substr(part * spec_part_bytes, spec_part_bytes)),
                                0});
    }
    return write;
}

void send_submission(gateway& self, shared_submission const& submission);

void on_conflict(gateway& self, pending_submission const& submission, store::commit const& outcome)
{
    auto const& current = outcome.current;
    auto const key = rollout::record_key(submission.record.id);
    auto const it = std::find_if(current.begin(), current.end(),
                                 [&](store::item const& item) { return item.key == key; });
    auto const record = it != current.end()
                            ? rollout::decode_job_record(submission.record.id, it->value)
                            : std::nullopt;
    if (!record || record->team != submission.record.team)
    {
        answer_error(self, *submission.exchange, http::status::bad_request,
                     {result_code::duplicate_attempt, "the id of the batch job is already in use"});
        return;
    }
    base::log_line(base::log_level::info, "job_known", {{"job", submission.record.id}});
    self.shared.records[submission.record.id] = {*record, it->revision};
    answer_empty(*submission.exchange, http::status::accepted);
}

void on_submission_failed(gateway& self, shared_submission const& submission,
                          base::error const& cause)
{
    base::log_line(
        base::log_level::warning, "job_not_stored",
        {{"job", submission->record.id}, {"code", cause.code}, {"reason", cause.message}});
    submission->may_be_stored |= cause.code == result_code::store_outcome_unknown;
    bool const is_own = submission->owner.host == self.settings.host;
    if (cause.code == result_code::lease_lost && !is_own && has_lease(self, base::mono_now()))
    {
        // The lease of the chosen member has ended, so this process becomes the owner.
        submission->owner = own_member(self);
        submission->write = submission_transaction(submission->record, submission->owner,
                                                   submission->exchange->body);
        send_submission(self, submission);
        return;
    }
    if (!submission->may_be_stored)
    {
        answer_store_unavailable(self, *submission->exchange, cause);
        return;
    }
    if (submission->attempts < max_store_attempts)
    {
        submission->timer = base::at(base::mono_now() + store_retry_delay,
                                     [&self, submission] { send_submission(self, submission); });
        return;
    }
    answer_error(self, *submission->exchange, http::status::timeout, cause);
}

void on_submitted(gateway& self, shared_submission const& submission,
                  base::result<store::commit> const& outcome)
{
    if (!outcome)
    {
        on_submission_failed(self, submission, outcome.error());
        return;
    }
    if (!outcome->committed)
    {
        on_conflict(self, *submission, *outcome);
        return;
    }
    base::log_line(base::log_level::info, "job_accepted",
                   {{"job", submission->record.id},
                    {"team", submission->record.team},
                    {"samples", static_cast<std::int64_t>(submission->record.samples)}});
    self.shared.records[submission->record.id] = {submission->record, outcome->revision};
    self.shared.owners[submission->record.id] = {
        rollout::owner_key(submission->record.id),
        rollout::owner_id(submission->owner.host, submission->owner.lease), outcome->revision};
    answer_empty(*submission->exchange, http::status::accepted);
    if (submission->owner.host == self.settings.host)
    {
        start_submitted_job(self, submission->record, std::move(submission->spec),
                            {outcome->revision, submission->owner.lease});
        return;
    }
    notify_owner(self, submission->owner, submission->record, outcome->revision);
}

void send_submission(gateway& self, shared_submission const& submission)
{
    ++submission->attempts;
    self.store.commit_transaction(submission->write, base::mono_now() + caller_store_timeout,
                                  [&self, submission](base::result<store::commit> const& outcome)
                                  { on_submitted(self, submission, outcome); });
}

} // namespace

void submit_job(gateway& self, shared_exchange const& exchange, platform::caller_head const& head,
                fleet::route const& route, std::string const& team)
{
    if (!reserve_submission(self, *exchange))
    {
        return;
    }
    auto spec = platform::decode_batch_job(exchange->body);
    if (!spec || !rollout::is_valid_job_id(head.request_id))
    {
        answer_error(self, *exchange, http::status::bad_request,
                     spec ? base::error{result_code::bad_request,
                                        "the batch job has no request id, or one that is too long "
                                        "or not of visible ASCII characters other than a slash"}
                          : spec.error());
        return;
    }
    if (auto const checked = platform::check_headers(*spec); !checked)
    {
        answer_error(self, *exchange, http::status::bad_request, checked.error());
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
        answer_store_unavailable(
            self, *exchange,
            {result_code::store_unavailable, "this gateway has no lease or is stopping"});
        return;
    }
    auto const submission = std::make_shared<pending_submission>();
    submission->exchange = exchange;
    submission->record = {
        head.request_id,      team,  head.host,       exchange->path,      base::wall_now(),
        spec->samples.size(), false, model_of(*spec), spec->least_version, expected_tokens(*spec)};
    submission->owner = choose_owner(self, submission->record);
    if (submission->owner.host == self.settings.host && !has_room_for_job(self, *spec))
    {
        refuse(self, *exchange,
               {result_code::overloaded, "the open batch jobs use up the memory for them"},
               retry_after_jobs_full);
        return;
    }
    submission->write =
        submission_transaction(submission->record, submission->owner, exchange->body);
    submission->spec = std::move(*spec);
    base::log_line(base::log_level::debug, "job_submitted",
                   {{"job", head.request_id}, {"route", route.name}});
    send_submission(self, submission);
}

} // namespace gooseberrywood::gateway
