#include "fleet/departures.hpp"

namespace gooseberrywood::fleet
{

namespace
{

// An upstream that was not listed for longer is taken as gone.
constexpr base::duration mark_lifetime = std::chrono::minutes(10);

} // namespace

incarnation incarnation_of(upstream_record const& record)
{
    return {record.id, record.address, record.started_ms};
}

bool mark_departure(departure_marks& marks, incarnation const& leaving, base::mono_time now)
{
    return marks.insert_or_assign(leaving, now + mark_lifetime).second;
}

bool keep_departure(departure_marks& marks, incarnation const& listed, base::mono_time now)
{
    auto const it = marks.find(listed);
    if (it == marks.end())
    {
        return false;
    }
    it->second = now + mark_lifetime;
    return true;
}

void drop_old_departures(departure_marks& marks, base::mono_time now)
{
    std::erase_if(marks, [&](auto const& mark) { return now >= mark.second; });
}

} // namespace gooseberrywood::fleet
