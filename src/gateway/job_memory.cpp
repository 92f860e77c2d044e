#include "gateway/job_memory.hpp"

#include "base/json_fields.hpp"
#include "gateway/answer_caller.hpp"
#include "http/status.hpp"

#include <limits>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;

// The values of the transaction, their base64 form, the JSON text of the call and its body.
constexpr std::size_t submission_copies = 8;
// A parsed value with its key, and what is decoded from it.
constexpr std::size_t value_bytes = 224;
// Progress, index entry and strings of a sample.
constexpr std::size_t sample_bytes = 1024;
constexpr std::size_t header_bytes = 160;
// A sample that runs has a copy of its body.
constexpr std::size_t body_copies = 2;
// Pages of the store's answer, the text that they make and what is decoded from it.
constexpr std::size_t job_read_bytes = std::size_t{4} * 1024 * 1024;

// Other requests have ended by then.
constexpr base::duration retry_after_no_memory = std::chrono::milliseconds(500);

void refuse_without_memory(gateway& self, http::exchange& exchange)
{
    refuse(self, exchange, {result_code::overloaded, "there is no memory for the batch job now"},
           retry_after_no_memory);
}

std::size_t held_bytes(rollout::batch_job const& spec)
{
    std::size_t bytes = 0;
    for (auto const& sample : spec.samples)
    {
        bytes += sample_bytes + sample.headers.size() * header_bytes;
        bytes += sample.body.size() * body_copies;
        bytes += sample.reward ? sample.reward->body.size() * body_copies : 0;
    }
    return bytes;
}

} // namespace

bool reserve_submission(gateway& self, http::exchange& exchange)
{
    auto const body = exchange.body;
    auto const needed = body.size() * submission_copies + base::max_json_values(body) * value_bytes;
    if (http::reserve_memory(exchange, needed))
    {
        return true;
    }
    if (body.size() + needed > self.budgets.large_requests->max_bytes)
    {
        answer_error(self, exchange, http::status::content_too_large,
                     {result_code::request_too_large,
                      "the batch job needs more memory than this host has for requests"});
        return false;
    }
    refuse_without_memory(self, exchange);
    return false;
}

bool reserve_job_read(gateway& self, http::exchange& exchange)
{
    bool const has_room = http::reserve_memory(exchange, job_read_bytes);
    if (!has_room)
    {
        refuse_without_memory(self, exchange);
    }
    return has_room;
}

bool has_room_for_job(gateway const& self, rollout::batch_job const& spec)
{
    return base::has_room(*self.budgets.jobs, held_bytes(spec));
}

std::shared_ptr<base::byte_share> count_job(gateway const& self, rollout::batch_job const& spec)
{
    auto share =
        base::open_share(self.budgets.jobs, std::numeric_limits<std::size_t>::max(), nullptr);
    share->bytes = held_bytes(spec);
    base::add_bytes(*share->budget, share->bytes);
    return share;
}

} // namespace gooseberrywood::gateway
