#include "gateway/departures.hpp"

#include "base/log.hpp"
#include "gateway/gateway.hpp"
#include "gateway/unsent_requests.hpp"

namespace gooseberrywood::gateway
{

void record_departure(gateway& self, fleet::incarnation const& answered_by,
                      platform::response_head const& head, std::string_view request_id)
{
    bool const is_foreign = head.request_id && *head.request_id != request_id;
    if (!head.leaving || is_foreign)
    {
        return;
    }
    if (fleet::note_leaving(self.pool, answered_by, base::mono_now()))
    {
        base::log_line(base::log_level::info, "upstream_leaving",
                       {{"upstream", answered_by.id}, {"request", request_id}});
        // Deferred, since the caller holds the request that was answered.
        self.withdraw_soon = base::soon(
            [&self]
            {
                self.withdraw_soon.reset();
                withdraw_unsent(self);
            });
    }
}

} // namespace gooseberrywood::gateway
