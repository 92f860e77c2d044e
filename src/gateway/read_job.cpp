#include "gateway/read_job.hpp"

#include "base/log.hpp"
#include "gateway/answer_caller.hpp"
#include "gateway/job_memory.hpp"
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

// Results of jobs that other processes own are cached for callers, which poll about once a second.
constexpr base::duration cache_retention = std::chrono::seconds(20);

void answer_results(http::exchange& exchange, std::size_t total, std::size_t from_position,
                    std::span<rollout::sample_result const> results)
{
    auto const skipped = std::min(from_position, results.size());
    http::respond(exchange, http::status::ok, "application/json",
                  platform::encode_results(total, from_position, results.subspan(skipped)));
}

bool append_to_cache(result_cache& cache, std::vector<store::item> const& chunks)
{
    for (auto const& chunk : chunks)
    {
        auto results = rollout::decode_results(chunk.value);
        if (!results)
        {
            base::log_line(base::log_level::error, "unreadable_results", {{"key", chunk.key}});
            return false;
        }
        // A concurrent read may have added the chunk already.
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
    auto const& cache = self.result_caches[id];
    store::list_all(self.store, rollout::result_prefix(id), cache.last_key,
                    base::mono_now() + caller_store_timeout,
                    [&self, exchange, id, total,
                     from_position](base::result<std::vector<store::item>> const& read)
                    {
                        auto& known = self.result_caches[id];
                        if (read && !append_to_cache(known, *read))
                        {
                            answer_store_unavailable(
                                self, *exchange,
                                {result_code::internal, "cannot decode stored results"});
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

/// Adds results that the owner lists from a position on, of which a concurrent read may have added
/// some meanwhile.
bool append_owned_results(result_cache& cache, std::size_t position,
                          std::vector<store::item> const& items)
{
    for (auto const& item : items)
    {
        auto results = rollout::decode_results(item.value);
        if (!results)
        {
            base::log_line(base::log_level::error, "unreadable_results", {{"key", item.key}});
            return false;
        }
        auto const known = std::min(cache.results.size() - position, results->size());
        if (known < results->size())
        {
            std::move(results->begin() + static_cast<std::ptrdiff_t>(known), results->end(),
                      std::back_inserter(cache.results));
            cache.last_key = item.key;
        }
    }
    return true;
}

/// Adds the results from the answer of the job's owner to the cache.
/// \returns false when the results must be read from the store: also when the caller asks from
/// beyond the results that the owner knows, since it was shown more elsewhere.
bool apply_owner_answer(gateway& self, std::string const& id, std::size_t known_before,
                        std::size_t from_position, std::optional<wire::list_answer> const& answer)
{
    auto& cache = self.result_caches[id];
    bool const was_evicted = cache.results.size() < known_before;
    if (!answer || !answer->available || was_evicted)
    {
        return false;
    }
    return append_owned_results(cache, known_before, answer->changes.items) &&
           from_position <= cache.results.size();
}

/// Answers with the results that the owner lists from the caller's position on.
/// \returns false, without an answer, when the results must be read from the store.
bool answer_from_owner(http::exchange& exchange, std::size_t total, std::size_t from_position,
                       std::optional<wire::list_answer> const& answer)
{
    if (!answer || !answer->available)
    {
        return false;
    }
    result_cache later;
    if (!append_owned_results(later, 0, answer->changes.items))
    {
        return false;
    }
    http::respond(exchange, http::status::ok, "application/json",
                  platform::encode_results(total, from_position, later.results));
    return true;
}

/// Reads only what the caller does not know. Callers read a job from many gateways, most of them
/// from the position of their last read on, so that the earlier results would be transferred to
/// nearly every gateway.
void read_later_results(gateway& self, shared_exchange const& exchange, std::string const& id,
                        std::size_t total, std::size_t from_position, rollout::member const& owner)
{
    request_list(
        self, owner, {0, rollout::result_prefix(id), 0, from_position, {}},
        [&self, exchange, id, total, from_position](std::optional<wire::list_answer> const& answer)
        {
            if (!answer_from_owner(*exchange, total, from_position, answer))
            {
                read_stored_results(self, exchange, id, total, from_position);
            }
        });
}

/// Answers with the results of a job that this process does not own. Asks the owner, which holds
/// them in memory, and falls back to the store.
void read_remote_results(gateway& self, shared_exchange const& exchange, std::string const& id,
                         std::size_t total, std::size_t from_position)
{
    auto& cache = self.result_caches[id];
    auto const now = base::mono_now();
    cache.expires_at = now + cache_retention;
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
    if (from_position > known)
    {
        read_later_results(self, exchange, id, total, from_position, *owner);
        return;
    }
    request_list(self, *owner, {0, rollout::result_prefix(id), 0, known, {}},
                 [&self, exchange, id, total, from_position,
                  known](std::optional<wire::list_answer> const& answer)
                 {
                     if (!apply_owner_answer(self, id, known, from_position, answer))
                     {
                         read_stored_results(self, exchange, id, total, from_position);
                         return;
                     }
                     answer_results(*exchange, total, from_position,
                                    self.result_caches[id].results);
                 });
}

/// Whether the listed results of a job in memory answer a call. Results that are asked for are
/// final; that there are none yet must be certain.
bool can_answer_from_memory(gateway const& self, owned_job const& job, std::size_t from_position)
{
    bool const is_complete = job.listed.size() >= job.record.samples;
    return is_complete || from_position < job.listed.size() ||
           (from_position == job.listed.size() &&
            knows_stored_results(self, job, base::mono_now()));
}

void answer_body(gateway& self, http::exchange& exchange, rollout::batch_job const& job,
                 std::string const& sample_id)
{
    auto const it =
        std::find_if(job.samples.begin(), job.samples.end(),
                     [&](rollout::sample_spec const& sample) { return sample.id == sample_id; });
    if (it == job.samples.end())
    {
        answer_error(self, exchange, http::status::not_found,
                     {result_code::not_found, "the batch job has no item with this id"});
        return;
    }
    http::respond(exchange, http::status::ok, "application/octet-stream", it->body);
}

} // namespace

void read_results(gateway& self, shared_exchange const& exchange, platform::batch_call const& call,
                  std::string const& team)
{
    auto const own = self.jobs.find(call.job_id);
    if (own != self.jobs.end() && own->second.record.team == team &&
        can_answer_from_memory(self, own->second, call.from_position))
    {
        answer_results(*exchange, own->second.record.samples, call.from_position,
                       own->second.listed);
        return;
    }
    with_job_record(self, exchange, call.job_id, team,
                    [&self, exchange, call](stored_record const& found) {
                        read_remote_results(self, exchange, call.job_id, found.record.samples,
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
                        if (!reserve_job_read(self, *exchange))
                        {
                            return;
                        }
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
