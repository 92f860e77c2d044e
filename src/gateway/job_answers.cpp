#include "gateway/job_answers.hpp"

#include "gateway/answer_caller.hpp"
#include "http/status.hpp"
#include "rollout/store_keys.hpp"

#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;

// Outages of the store are expected to be short, and another gateway may still reach it.
constexpr base::duration store_retry_after = std::chrono::milliseconds(250);

} // namespace

void answer_empty(http::exchange& exchange, std::uint16_t status)
{
    http::respond(exchange, status, "application/json", "{}");
}

void answer_store_unavailable(gateway& self, http::exchange& exchange, base::error const& cause)
{
    refuse(self, exchange, {result_code::store_unavailable, cause.message}, store_retry_after);
}

void answer_job_not_found(gateway& self, http::exchange& exchange)
{
    answer_error(self, exchange, http::status::not_found,
                 {result_code::not_found, "batch job not found"});
}

void with_job_record(gateway& self, shared_exchange const& exchange, std::string const& id,
                     std::string const& team, std::function<void(stored_record const&)> const& then)
{
    auto const known = self.shared.records.find(id);
    if (known != self.shared.records.end())
    {
        if (known->second.record.team != team)
        {
            answer_job_not_found(self, *exchange);
            return;
        }
        then(known->second);
        return;
    }
    self.store.read(
        rollout::record_key(id), base::mono_now() + caller_store_timeout,
        [&self, exchange, id, team, then](base::result<std::optional<store::item>> const& read)
        {
            if (!read)
            {
                answer_store_unavailable(self, *exchange, read.error());
                return;
            }
            auto record = *read ? rollout::decode_job_record(id, (*read)->value) : std::nullopt;
            if (!record || record->team != team)
            {
                answer_job_not_found(self, *exchange);
                return;
            }
            then({std::move(*record), (*read)->revision});
        });
}

} // namespace gooseberrywood::gateway
