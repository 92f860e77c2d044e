#include "gateway/read_job.hpp"

#include "base/log.hpp"
#include "gateway/answer_caller.hpp"
#include "gateway/job_running.hpp"
#include "gateway/job_store.hpp"
#include "gateway/list_exchange.hpp"
#include "http/status.hpp"
#include "rollout/result_chunk.hpp"
#include "rollout/store_keys.hpp"
#include "store/list_all.hpp"

#include <algorithm>
#include <iterator>
#include <span>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;

// Results of jobs of other owners are kept for readers that come back, about once a second.
constexpr base::duration cache_time = std::chrono::seconds(20);

void answer_results(http::exchange& exchange, std::size_t total, std::size_t from_position,
                    std::span<rollout::sample_result const> results)
{
    auto const skipped = std::min(from_position, results.size());
    http::respond(exchange, http::status::ok, "application/json",
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

void read_stored_results(gateway& self, shared_exchange const& exchange, std::string const& id,
                         std::size_t total, std::size_t from_position)
{
    auto const& cache = self.caches[id];
    store::list_all(self.store, rollout::result_prefix(id), cache.last_key,
                    base::mono_now() + caller_store_timeout,
                    [&self, exchange, id, total,
                     from_position](base::result<std::vector<store::item>> const& read)
                    {
                        auto& known = self.caches[id];
                        if (read && !extend_cache(known, *read))
                        {
                            answer_store_unavailable(
                                self, *exchange,
                                {result_code::internal, "stored results can't be read"});
                            return;
                        }
                        if (!read && known.results.size() <= from_position)
                        {
                            answer_store_unavailable(self, *exchange, read.error());
                            return;
                        }
                        answer_results(*exchange, total, from_position, known.results);
                    });
}

/// Takes over what the owner of the job has told.
/// \returns false when the store must be asked.
bool take_owner_answer(gateway& self, std::string const& id, std::size_t known_before,
                       std::optional<wire::list_answer> const& answer)
{
    auto& cache = self.caches[id];
    bool const is_dropped = cache.results.size() < known_before;
    if (!answer || !answer->available || is_dropped)
    {
        return false;
    }
    // Another read that has ended meanwhile has brought results that this answer holds too.
    bool const is_longer = cache.results.size() > known_before;
    return is_longer || extend_cache(cache, answer->changes.items);
}

/// Asks the owner of the job, which holds its results in memory, and else the store.
void read_results_elsewhere(gateway& self, shared_exchange const& exchange, std::string const& id,
                            std::size_t total, std::size_t from_position)
{
    auto& cache = self.caches[id];
    auto const now = base::mono_now();
    cache.drop_at = now + cache_time;
    if (cache.results.size() >= total)
    {
        answer_results(*exchange, total, from_position, cache.results);
        return;
    }
    auto const owner = find_owner(self, id, now);
    if (!owner)
    {
        read_stored_results(self, exchange, id, total, from_position);
        return;
    }
    auto const known = cache.results.size();
    ask_for_list(self, *owner, {0, rollout::result_prefix(id), 0, known, {}},
                 [&self, exchange, id, total, from_position,
                  known](std::optional<wire::list_answer> const& answer)
                 {
                     if (!take_owner_answer(self, id, known, answer))
                     {
                         read_stored_results(self, exchange, id, total, from_position);
                         return;
                     }
                     answer_results(*exchange, total, from_position, self.caches[id].results);
                 });
}

void answer_body(gateway& self, http::exchange& exchange, rollout::batch_job const& job,
                 std::string const& sample_id)
{
    auto const at =
        std::find_if(job.samples.begin(), job.samples.end(),
                     [&](rollout::sample_spec const& one) { return one.id == sample_id; });
    if (at == job.samples.end())
    {
        answer_error(self, exchange, http::status::not_found,
                     {result_code::not_found, "the batch job has no such item"});
        return;
    }
    http::respond(exchange, http::status::ok, "application/octet-stream", at->body);
}

} // namespace

void read_results(gateway& self, shared_exchange const& exchange, platform::batch_call const& call,
                  std::string const& team)
{
    auto const own = self.jobs.find(call.job_id);
    if (own != self.jobs.end() && owns(self, own->second, base::mono_now()) &&
        own->second.record.team == team)
    {
        answer_results(*exchange, own->second.record.samples, call.from_position,
                       own->second.listed);
        return;
    }
    with_job_record(self, exchange, call.job_id, team,
                    [&self, exchange, call](stored_record const& found) {
                        read_results_elsewhere(self, exchange, call.job_id, found.record.samples,
                                               call.from_position);
                    });
}

void read_body(gateway& self, shared_exchange const& exchange, platform::batch_call const& call,
               std::string const& team)
{
    auto const own = self.jobs.find(call.job_id);
    if (own != self.jobs.end() && own->second.record.team == team)
    {
        answer_body(self, *exchange, own->second.spec, call.sample_id);
        return;
    }
    with_job_record(self, exchange, call.job_id, team,
                    [&self, exchange, call](stored_record const&)
                    {
                        load_job(self, call.job_id,
                                 [&self, exchange, call](base::result<stored_job> const& stored)
                                 {
                                     if (!stored)
                                     {
                                         answer_store_unavailable(self, *exchange, stored.error());
                                         return;
                                     }
                                     answer_body(self, *exchange, stored->spec, call.sample_id);
                                 });
                    });
}

} // namespace gooseberrywood::gateway
