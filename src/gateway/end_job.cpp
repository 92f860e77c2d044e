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

struct ending
{
    shared_exchange exchange;
    stored_record found;
    int tries = 0;
    base::event_source timer;
};

void send_end(gateway& self, std::shared_ptr<ending> const& what);

void on_ended(gateway& self, ending const& what)
{
    auto const& id = what.found.record.id;
    base::log_line(base::log_level::info, "job_ended", {{"job", id}});
    mark_job_ended(self, id);
    answer_empty(*what.exchange, http::status::ok);
    notify_job_ended(self, id);
}

void try_end_again(gateway& self, std::shared_ptr<ending> const& what, base::error const& cause)
{
    if (what->tries >= max_store_attempts)
    {
        answer_error(self, *what->exchange, http::status::timeout, cause);
        return;
    }
    what->timer =
        base::at(base::mono_now() + store_retry_delay, [&self, what] { send_end(self, what); });
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
        write, base::mono_now() + caller_store_timeout,
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
                answer_job_not_found(self, *what->exchange);
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

} // namespace

void end_job(gateway& self, shared_exchange const& exchange, platform::batch_call const& call,
             std::string const& team)
{
    with_job_record(self, exchange, call.job_id, team,
                    [&self, exchange](stored_record const& found)
                    {
                        auto const what = std::make_shared<ending>();
                        what->exchange = exchange;
                        what->found = found;
                        if (found.record.ended)
                        {
                            answer_empty(*exchange, http::status::ok);
                            return;
                        }
                        send_end(self, what);
                    });
}

} // namespace gooseberrywood::gateway
