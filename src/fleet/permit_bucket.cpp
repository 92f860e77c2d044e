#include "fleet/permit_bucket.hpp"

#include <algorithm>

namespace gooseberrywood::fleet
{

namespace
{

// An upstream may get one and a half times its limit, and 5 requests, in 4 s. Permits are used up
// to `permit_validity` after they were granted, so that those of 4.25 s may arrive within 4 s: one
// bucket grants 2 + (1.5 + 4.25) * limit, two together 2 * (2 + 0.7 * 4.25 * limit).
constexpr double base_capacity = 2;
constexpr double burst_s = 1.5;
constexpr double shared_utilization = 0.7;
// An upstream that states a limit of zero still gets a request now and then, so that it can state
// another one.
constexpr double min_requests_per_s = 0.1;

// Processes that know different limits name them at different times.
constexpr base::duration raise_delay = std::chrono::seconds(2);
// A denied process asks again within this time, since the limit may have been raised.
constexpr base::duration max_denial = std::chrono::seconds(2);

struct bucket_size
{
    double capacity = 0;
    double refill_per_s = 0;
};

bucket_size size_of(permit_bucket const& bucket)
{
    auto const limit = std::max(bucket.requests_per_s, min_requests_per_s);
    return bucket.certainty == issuer_certainty::only_one
               ? bucket_size{base_capacity + burst_s * limit, limit}
               : bucket_size{base_capacity, shared_utilization * limit};
}

void refill(permit_bucket& bucket, base::mono_time now)
{
    auto const elapsed = std::chrono::duration<double>(now - bucket.refilled_at).count();
    auto const size = size_of(bucket);
    bucket.refilled_at = now;
    bucket.available = std::min(size.capacity, bucket.available + elapsed * size.refill_per_s);
}

} // namespace

permit_bucket make_permit_bucket(double requests_per_s, base::mono_time now)
{
    return {requests_per_s, now + raise_delay, issuer_certainty::perhaps_two, 0, now};
}

bool take_permit(permit_bucket& bucket, double requests_per_s, issuer_certainty certainty,
                 base::mono_time now)
{
    refill(bucket, now);
    bucket.certainty = certainty;
    if (requests_per_s <= bucket.requests_per_s || now >= bucket.raise_at)
    {
        bucket.requests_per_s = requests_per_s;
        bucket.raise_at = now + raise_delay;
    }
    bucket.available = std::min(bucket.available, size_of(bucket).capacity);
    if (bucket.available < 1)
    {
        return false;
    }
    bucket.available -= 1;
    return true;
}

base::mono_time next_permit_at(permit_bucket const& bucket, base::mono_time now)
{
    std::chrono::duration<double> const needed((1 - bucket.available) /
                                               size_of(bucket).refill_per_s);
    auto const wait = std::chrono::duration_cast<base::duration>(needed);
    return now + std::clamp(wait, base::duration::zero(), max_denial);
}

} // namespace gooseberrywood::fleet
