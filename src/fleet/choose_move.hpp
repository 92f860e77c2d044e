#ifndef GOOSEBERRYWOOD_FLEET_CHOOSE_MOVE_HPP
#define GOOSEBERRYWOOD_FLEET_CHOOSE_MOVE_HPP

#include "fleet/choose_upstream.hpp"

#include <optional>
#include <string_view>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief A moved sample stays on its new upstream at least this long, so that it does not move to
/// and fro between upstreams that are slow in turn.
inline constexpr base::duration min_stay_after_move = std::chrono::milliseconds(1500);

/// \ingroup fleet
/// \brief A move of a running sample to another upstream.
struct sample_move
{
    chosen_upstream target;
    /// Time that the move is expected to save, less its cost.
    base::duration saved{};
    /// The present upstream is much slower than the median; otherwise the target is just faster.
    bool leaves_slow_upstream = false;
};

/// \ingroup fleet
/// \brief Upper bound of the time that a move saves: if the fastest upstream of the service could
/// take the sample. Cheap, to select the samples for which `choose_move` is worth its time.
/// \returns microseconds, less the cost of a move; 0 when no move can be worth its cost.
[[nodiscard]] double max_saved_us(pool& pool, std::string_view id,
                                  sample_requirements const& requirements, base::mono_time now);

/// \ingroup fleet
/// \brief Chooses an upstream with a free slot to which a running sample should move, if that saves
/// clearly more time than it costs.
///
/// Load pattern: some upstreams are 1.3 times slower than others, and some become several times
/// slower for 0.6 s or some seconds, while the longest samples of a step run. Only upstreams that
/// were slow, or fast, for a while count as such, and a sample that is expected to be complete well
/// before it is due stays.
/// \param id upstream on which the sample runs; `requirements.avoided` must be the same.
/// \returns nothing when the sample should stay.
[[nodiscard]] std::optional<sample_move> choose_move(pool& pool, configuration const& configuration,
                                                     std::string_view id,
                                                     sample_requirements const& requirements,
                                                     base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
