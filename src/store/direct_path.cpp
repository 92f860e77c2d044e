#include "store/direct_path.hpp"

namespace gooseberrywood::store
{

namespace
{

constexpr base::duration direct_retry_interval = std::chrono::milliseconds(1000);

// Every process calls the store at least this often.
constexpr base::duration max_success_age = std::chrono::milliseconds(2500);

} // namespace

bool should_call_directly(direct_path const& path, base::mono_time now)
{
    return now >= path.relay_until;
}

bool record_direct_call(direct_path& path, bool served, base::mono_time now)
{
    bool const changed = path.failing == served;
    path.failing = !served;
    if (served)
    {
        path.last_success_at = now;
        path.relay_until = base::mono_time::min();
    }
    else
    {
        path.relay_until = now + direct_retry_interval;
    }
    return changed;
}

void record_relay_failure(direct_path& path)
{
    path.relay_until = base::mono_time::min();
}

bool may_relay(direct_path const& path, base::mono_time now)
{
    return !path.failing && path.last_success_at != base::mono_time::min() &&
           now < path.last_success_at + max_success_age;
}

} // namespace gooseberrywood::store
