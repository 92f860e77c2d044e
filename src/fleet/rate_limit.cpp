#include "fleet/rate_limit.hpp"

#include <algorithm>
#include <limits>

namespace gooseberrywood::fleet
{

namespace
{

double rate_of(std::optional<double> requests_per_s)
{
    return requests_per_s.value_or(std::numeric_limits<double>::infinity());
}

} // namespace

bool note_statement(rate_limit& limit, std::optional<double> stated, base::mono_time sent_at,
                    base::mono_time now)
{
    bool const is_newer = sent_at >= limit.stated_at;
    bool const is_stricter = rate_of(stated) < rate_of(limit.requests_per_s);
    if (!is_newer && !is_stricter)
    {
        return false;
    }
    bool const changed = stated != limit.requests_per_s;
    limit.requests_per_s = stated;
    limit.stated_at = now;
    if (!stated)
    {
        limit.permits.clear();
    }
    return changed;
}

bool permits_request(rate_limit const& limit, base::mono_time now)
{
    return !limit.requests_per_s ||
           std::any_of(limit.permits.begin(), limit.permits.end(),
                       [&](base::mono_time expires_at) { return now < expires_at; });
}

void use_permit(rate_limit& limit, base::mono_time now)
{
    std::erase_if(limit.permits, [&](base::mono_time expires_at) { return now >= expires_at; });
    if (!limit.permits.empty())
    {
        limit.permits.erase(limit.permits.begin());
    }
}

} // namespace gooseberrywood::fleet
