#include "store/direct_path.hpp"

namespace gooseberrywood::store
{

namespace
{

constexpr base::duration avoid_time = std::chrono::milliseconds(1000);

// Every process calls the store at least this often.
constexpr base::duration known_time = std::chrono::milliseconds(2500);

} // namespace

bool should_call_directly(direct_path const& of, base::mono_time now)
{
    return now >= of.avoided_until;
}

bool record_direct_call(direct_path& of, bool served, base::mono_time now)
{
    bool const changed = of.failing == served;
    of.failing = !served;
    if (served)
    {
        of.served_at = now;
        of.avoided_until = base::mono_time::min();
    }
    else
    {
        of.avoided_until = now + avoid_time;
    }
    return changed;
}

void record_relay_failure(direct_path& of)
{
    of.avoided_until = base::mono_time::min();
}

bool may_relay(direct_path const& of, base::mono_time now)
{
    return !of.failing && of.served_at != base::mono_time::min() && now < of.served_at + known_time;
}

} // namespace gooseberrywood::store
