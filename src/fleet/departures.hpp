#ifndef GOOSEBERRYWOOD_FLEET_DEPARTURES_HPP
#define GOOSEBERRYWOOD_FLEET_DEPARTURES_HPP

#include "base/time.hpp"
#include "fleet/upstream_record.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief One start of an upstream. Another start may have the same id.
struct incarnation
{
    std::string id;
    /// `IP:port`
    std::string address;
    /// See `upstream_record::started_ms`.
    std::int64_t started_ms = 0;

    friend auto operator<=>(incarnation const&, incarnation const&) = default;
};

/// \ingroup fleet
/// \brief The incarnation that an entry of the list describes.
[[nodiscard]] incarnation incarnation_of(upstream_record const& record);

/// \ingroup fleet
/// \brief Incarnations that have stated in an answer that they leave, each with the time at which
/// the mark may be dropped. An incarnation that leaves never takes requests again, whatever the
/// list says of it.
using departure_marks = std::map<incarnation, base::mono_time>;

/// \ingroup fleet
/// \brief Marks an incarnation as leaving.
/// \returns whether it was not marked before.
bool mark_departure(departure_marks& marks, incarnation const& leaving, base::mono_time now);

/// \ingroup fleet
/// \brief Whether a listed incarnation is marked as leaving. A mark that is asked for is kept.
[[nodiscard]] bool keep_departure(departure_marks& marks, incarnation const& listed,
                                  base::mono_time now);

/// \ingroup fleet
/// \brief Drops the marks of incarnations that have not been listed for long.
void drop_old_departures(departure_marks& marks, base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
