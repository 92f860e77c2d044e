#include "gateway/batch_callers.hpp"

#include "base/log.hpp"
#include "gateway/answer_caller.hpp"
#include "gateway/job_ownership.hpp"
#include "gateway/sample_runner.hpp"
#include "rollout/result_chunk.hpp"
#include "rollout/store_keys.hpp"
#include "store/list_all.hpp"

#include <algorithm>
#include <functional>
#include <span>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;
using shared_exchange = std::shared_ptr<http::exchange>;

constexpr std::uint16_t ok = 200;
constexpr std::uint16_t accepted = 202;
constexpr std::uint16_t bad_request = 400;
constexpr std::uint16_t not_found = 404;
constexpr std::uint16_t gateway_timeout = 504;

constexpr base::duration store_timeout = std::chrono::milliseconds(900);
constexpr base::duration retry_pause = std::chrono::milliseconds(60);
constexpr int most_tries = 3;

// The store is reached again soon, here or at another entry.
constexpr base::duration come_back = std::chrono::milliseconds(250);

// Values in the store hold less than 1 MiB.
constexpr std::size_t spec_part_bytes = 900'000;

// Results of jobs of other owners are kept for readers that come back, about once a second.
constexpr base::duration cache_time = std::chrono::seconds(20);

void answer_empty(http::exchange& to, std::uint16_t status)
{
    http::respond(to, status, "application/json", "{}");
}

void answer_unsure(gateway& self, http::exchange& to, base::error const& why)
{
    refuse(self, to, {result_code::store_unavailable, why.message}, come_back);
}

void answer_missing(gateway& self, http::exchange& to)
{
    reject(self, to, not_found, {result_code::not_found, "there is no such batch job"});
}

/// Calls a function with the job's record, from memory or the store; answers if there is none.
void with_record(gateway& self, shared_exchange const& from, std::string const& id,
                 std::string const& team, std::function<void(stored_record const&)> const& then)
{
    auto const known = self.shared.records.find(id);
    if (known != self.shared.records.end())
    {
        if (known->second.record.team != team)
        {
            answer_missing(self, *from);
            return;
        }
        then(known->second);
        return;
    }
    self.store.read(
        rollout::record_key(id), base::mono_now() + store_timeout,
        [&self, from, id, team, then](base::result<std::optional<store::item>> const& read)
        {
            if (!read)
            {
                answer_unsure(self, *from, read.error());
                return;
            }
            auto record = *read ? rollout::decode_job_record(id, (*read)->value) : std::nullopt;
            if (!record || record->team != team)
            {
                answer_missing(self, *from);
                return;
            }
            then({std::move(*record), (*read)->revision});
        });
}

// Submission.

struct submission
{
    shared_exchange from;
    rollout::job_record record;
    rollout::batch_job spec;
    store::transaction write;
    int tries = 0;
    base::event_source timer;
};

using shared_submission = std::shared_ptr<submission>;

store::transaction submission_write(gateway const& self, rollout::job_record const& record,
                                    std::string_view body)
{
    store::transaction write;
    write.expected.push_back({rollout::record_key(record.id), 0});
    write.writes.push_back({rollout::record_key(record.id), rollout::encode(record), 0});
    write.writes.push_back({rollout::owner_key(record.id), own_mark(self), self.lease.id});
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
        reject(self, *what.from, bad_request,
               {result_code::duplicate_attempt, "the id of the batch job is taken"});
        return;
    }
    base::log_line(base::log_level::info, "job_known", {{"job", what.record.id}});
    self.shared.records[what.record.id] = {*record, at->revision};
    answer_empty(*what.from, accepted);
}

void on_submission_failed(gateway& self, shared_submission const& what, base::error const& why)
{
    base::log_line(base::log_level::warning, "job_not_stored",
                   {{"job", what->record.id}, {"code", why.code}, {"reason", why.message}});
    if (why.code != result_code::store_outcome_unknown && what->tries == 1)
    {
        answer_unsure(self, *what->from, why);
        return;
    }
    if (what->tries < most_tries)
    {
        what->timer = base::at(base::mono_now() + retry_pause,
                               [&self, what] { send_submission(self, what); });
        return;
    }
    fail_request(self, *what->from, gateway_timeout, why);
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
    answer_empty(*what->from, accepted);
    adopt_job(self, what->record, std::move(what->spec), outcome->revision);
}

void send_submission(gateway& self, shared_submission const& what)
{
    ++what->tries;
    self.store.commit_all(what->write, base::mono_now() + store_timeout,
                          [&self, what](base::result<store::commit> const& outcome)
                          { on_submitted(self, what, outcome); });
}

// Reading.

void answer_results(http::exchange& to, std::size_t total, std::size_t from_position,
                    std::span<rollout::sample_result const> results)
{
    auto const skipped = std::min(from_position, results.size());
    http::respond(to, ok, "application/json",
                  platform::encode_results(total, from_position, results.subspan(skipped)));
}

bool extend_cache(result_cache& cache, std::vector<store::item> const& chunks)
{
    for (auto const& chunk : chunks)
    {
        auto results = rollout::decode_results(chunk.value);
        if (!results)
        {
            base::log_line(base::log_level::error, "unreadable_results", {{"key", chunk.key}});
            return false;
        }
        // A read that ran beside this one may have brought the chunk already.
        if (chunk.key > cache.last_key)
        {
            std::move(results->begin(), results->end(), std::back_inserter(cache.results));
            cache.last_key = chunk.key;
        }
    }
    return true;
}

void read_stored_results(gateway& self, shared_exchange const& from, std::string const& id,
                         std::size_t total, std::size_t from_position)
{
    auto& cache = self.caches[id];
    cache.drop_at = base::mono_now() + cache_time;
    if (cache.results.size() >= total)
    {
        answer_results(*from, total, from_position, cache.results);
        return;
    }
    store::list_all(
        self.store, rollout::result_prefix(id), cache.last_key, base::mono_now() + store_timeout,
        [&self, from, id, total, from_position](base::result<std::vector<store::item>> const& read)
        {
            auto& known = self.caches[id];
            if (read && !extend_cache(known, *read))
            {
                answer_unsure(self, *from, {result_code::internal, "stored results can't be read"});
                return;
            }
            if (!read && known.results.size() <= from_position)
            {
                answer_unsure(self, *from, read.error());
                return;
            }
            answer_results(*from, total, from_position, known.results);
        });
}

void read_results(gateway& self, shared_exchange const& from, platform::batch_call const& call,
                  std::string const& team)
{
    auto const own = self.jobs.find(call.job_id);
    if (own != self.jobs.end() && owns(self, own->second, base::mono_now()) &&
        own->second.record.team == team)
    {
        answer_results(*from, own->second.record.samples, call.from_position, own->second.listed);
        return;
    }
    with_record(self, from, call.job_id, team,
                [&self, from, call](stored_record const& found) {
                    read_stored_results(self, from, call.job_id, found.record.samples,
                                        call.from_position);
                });
}

void answer_body(gateway& self, http::exchange& to, rollout::batch_job const& job,
                 std::string const& sample_id)
{
    auto const at =
        std::find_if(job.samples.begin(), job.samples.end(),
                     [&](rollout::sample_spec const& one) { return one.id == sample_id; });
    if (at == job.samples.end())
    {
        reject(self, to, not_found, {result_code::not_found, "the batch job has no such item"});
        return;
    }
    http::respond(to, ok, "application/octet-stream", at->body);
}

void read_body(gateway& self, shared_exchange const& from, platform::batch_call const& call,
               std::string const& team)
{
    auto const own = self.jobs.find(call.job_id);
    if (own != self.jobs.end() && own->second.record.team == team)
    {
        answer_body(self, *from, own->second.spec, call.sample_id);
        return;
    }
    with_record(self, from, call.job_id, team,
                [&self, from, call](stored_record const&)
                {
                    load_spec(self, call.job_id,
                              [&self, from, call](base::result<rollout::batch_job> const& spec)
                              {
                                  if (!spec)
                                  {
                                      answer_unsure(self, *from, spec.error());
                                      return;
                                  }
                                  answer_body(self, *from, *spec, call.sample_id);
                              });
                });
}

// The end of a job.

struct ending
{
    shared_exchange from;
    stored_record found;
    int tries = 0;
    base::event_source timer;
};

void send_end(gateway& self, std::shared_ptr<ending> const& what);

void on_ended(gateway& self, ending const& what)
{
    auto record = what.found.record;
    record.ended = true;
    base::log_line(base::log_level::info, "job_ended", {{"job", record.id}});
    auto const known = self.shared.records.find(record.id);
    if (known != self.shared.records.end())
    {
        known->second.record.ended = true;
    }
    stop_job(self, record.id);
    answer_empty(*what.from, ok);
}

void try_end_again(gateway& self, std::shared_ptr<ending> const& what, base::error const& why)
{
    if (what->tries >= most_tries)
    {
        fail_request(self, *what->from, gateway_timeout, why);
        return;
    }
    what->timer = base::at(base::mono_now() + retry_pause, [&self, what] { send_end(self, what); });
}

void send_end(gateway& self, std::shared_ptr<ending> const& what)
{
    ++what->tries;
    auto record = what->found.record;
    record.ended = true;
    auto const key = rollout::record_key(record.id);
    store::transaction write;
    write.expected.push_back({key, what->found.revision});
    write.writes.push_back({key, rollout::encode(record), 0});
    self.store.commit_all(
        write, base::mono_now() + store_timeout,
        [&self, what, id = record.id](base::result<store::commit> const& outcome)
        {
            if (!outcome)
            {
                try_end_again(self, what, outcome.error());
                return;
            }
            if (outcome->done)
            {
                on_ended(self, *what);
                return;
            }
            auto const current = outcome->current.empty()
                                     ? std::nullopt
                                     : rollout::decode_job_record(id, outcome->current[0].value);
            if (!current)
            {
                answer_missing(self, *what->from);
                return;
            }
            what->found = {*current, outcome->current[0].revision};
            if (current->ended)
            {
                on_ended(self, *what);
                return;
            }
            try_end_again(self, what,
                          {result_code::compare_failed, "the batch job changed meanwhile"});
        });
}

void end_job(gateway& self, shared_exchange const& from, platform::batch_call const& call,
             std::string const& team)
{
    with_record(self, from, call.job_id, team,
                [&self, from](stored_record const& found)
                {
                    auto const what = std::make_shared<ending>();
                    what->from = from;
                    what->found = found;
                    if (found.record.ended)
                    {
                        answer_empty(*from, ok);
                        return;
                    }
                    send_end(self, what);
                });
}

} // namespace

void submit_job(gateway& self, shared_exchange const& from, platform::caller_head const& head,
                fleet::route const& route, std::string const& team)
{
    auto spec = platform::decode_batch_job(from->body);
    if (!spec || head.request_id.empty())
    {
        reject(self, *from, bad_request,
               spec ? base::error{result_code::bad_request, "the batch job has no id"}
                    : spec.error());
        return;
    }
    auto const known = self.shared.records.find(head.request_id);
    if (known != self.shared.records.end() && known->second.record.team == team)
    {
        answer_empty(*from, accepted);
        return;
    }
    if (!has_lease(self, base::mono_now()) || self.stopping)
    {
        answer_unsure(self, *from, {result_code::store_unavailable, "this entry has no lease"});
        return;
    }
    auto const what = std::make_shared<submission>();
    what->from = from;
    what->record = {head.request_id,      team, head.host, from->path, base::wall_now(),
                    spec->samples.size(), false};
    what->write = submission_write(self, what->record, from->body);
    what->spec = std::move(*spec);
    base::log_line(base::log_level::debug, "job_submitted",
                   {{"job", head.request_id}, {"route", route.name}});
    send_submission(self, what);
}

void handle_batch_call(gateway& self, shared_exchange const& from, platform::batch_call const& call,
                       std::string const& team)
{
    switch (call.what)
    {
    case platform::batch_operation::read_results:
        read_results(self, from, call, team);
        break;
    case platform::batch_operation::read_body:
        read_body(self, from, call, team);
        break;
    case platform::batch_operation::end:
        end_job(self, from, call, team);
        break;
    }
}

} // namespace gooseberrywood::gateway
