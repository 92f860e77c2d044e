#include "gateway/end_job.hpp"

#include "base/log.hpp"
#include "gateway/answer_caller.hpp"
#include "gateway/job_notices.hpp"
#include "gateway/job_running.hpp"
#include "http/status.hpp"
#include "rollout/store_keys.hpp"

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;

/// A caller's request to end a job, until it is answered.
struct pending_end
{
    shared_exchange exchange;
    stored_record found;
    int attempts = 0;
    base::event_source timer;
};

void write_ended_record(gateway& self, std::shared_ptr<pending_end> const& ending);

void on_ended(gateway& self, pending_end const& ending)
{
    auto const& id = ending.found.record.id;
    base::log_line(base::log_level::info, "job_ended", {{"job", id}});
    mark_job_ended(self, id);
    answer_empty(*ending.exchange, http::status::ok);
    notify_job_ended(self, id);
}

void retry_end(gateway& self, std::shared_ptr<pending_end> const& ending, base::error const& cause)
{
    if (ending->attempts >= max_store_attempts)
    {
        answer_error(self, *ending->exchange, http::status::timeout, cause);
        return;
    }
    ending->timer = base::at(base::mono_now() + store_retry_delay,
                             [&self, ending] { write_ended_record(self, ending); });
}

void write_ended_record(gateway& self, std::shared_ptr<pending_end> const& ending)
{
    ++ending->attempts;
    auto record = ending->found.record;
    record.ended = true;
    auto const key = rollout::record_key(record.id);
    store::transaction write;
    write.expected.push_back({key, ending->found.revision});
    write.writes.push_back({key, rollout::encode(record), 0});
    self.store.commit_all(
        write, base::mono_now() + caller_store_timeout,
        [&self, ending, id = record.id](base::result<store::commit> const& outcome)
        {
            if (!outcome)
            {
                retry_end(self, ending, outcome.error());
                return;
            }
            if (outcome->done)
            {
                on_ended(self, *ending);
                return;
            }
            auto const current = outcome->current.empty()
                                     ? std::nullopt
                                     : rollout::decode_job_record(id, outcome->current[0].value);
            if (!current)
            {
                answer_job_not_found(self, *ending->exchange);
                return;
            }
            ending->found = {*current, outcome->current[0].revision};
            if (current->ended)
            {
                on_ended(self, *ending);
                return;
            }
            retry_end(self, ending,
                      {result_code::compare_failed,
                       "the record of the batch job was changed concurrently"});
        });
}

} // namespace

void end_job(gateway& self, shared_exchange const& exchange, platform::batch_call const& call,
             std::string const& team)
{
    with_job_record(self, exchange, call.job_id, team,
                    [&self, exchange](stored_record const& found)
                    {
                        auto const ending = std::make_shared<pending_end>();
                        ending->exchange = exchange;
                        ending->found = found;
                        if (found.record.ended)
                        {
                            answer_empty(*exchange, http::status::ok);
                            return;
                        }
                        write_ended_record(self, ending);
                    });
}

} // namespace gooseberrywood::gateway
