#ifndef GOOSEBERRYWOOD_DUTY_WEIGHTS_LOADS_HPP
#define GOOSEBERRYWOOD_DUTY_WEIGHTS_LOADS_HPP

#include "base/time.hpp"
#include "duty/needed_versions.hpp"
#include "duty/weights_order.hpp"
#include "duty/weights_plan.hpp"
#include "fleet/pool.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief Typical time of a load while few upstreams load at once.
inline constexpr base::duration typical_load_time = std::chrono::milliseconds(920);

/// \ingroup duty
/// \brief Records that an upstream has accepted an order, or may have accepted it.
void note_order_accepted(upstream_assignment& assignment, weights_order const& order,
                         base::mono_time now);

/// \ingroup duty
/// \brief Records that an order was not accepted or that the number of accepted orders could not be
/// read. The upstream gets no order for a short time. What it has loaded remains known.
void note_order_failed(upstream_assignment& assignment, base::mono_time now);

/// \ingroup duty
/// \brief Orders that should be sent now, the most urgent ones first:
/// 1. upstreams whose version is too old for every open step of their model;
/// 2. those whose version is too old for one of its open steps;
/// 3. those whose version will be too old for its next step;
/// 4. all others that do not have the latest version.
///
/// If not every version can be loaded on every upstream, as many upstreams of the last two kinds as
/// may load at once are left until a step needs them.
///
/// Among the models of equally urgent upstreams, one that has had no order for longer than the
/// others would take in turns comes first, then the one with the smallest usable share. Within a
/// model, the upstream with the oldest load comes first, then the least busy one.
///
/// Load pattern: each trainer has a new version every few seconds and submits a new step of a
/// hundred samples with it; together they reach the limit of what the upstreams can load. Only a
/// few upstreams may load at once, and no model may fall behind the others. A load of an upstream
/// whose version is still accepted delays those whose version no open step accepts.
[[nodiscard]] std::vector<weights_order>
due_orders(weights_plan const& plan, fleet::pool const& pool, latest_versions const& latest,
           needed_versions const& needed, base::mono_time now);

/// \ingroup duty
/// \brief Whether more upstreams are too old for an open step of their model than may load now.
[[nodiscard]] bool urgent_loads_wait(weights_plan const& plan, fleet::pool const& pool,
                                     latest_versions const& latest, needed_versions const& needed,
                                     base::mono_time now);

/// \ingroup duty
/// \brief Upstreams whose number of accepted orders is unknown and should be read now, so that an
/// order does not have to wait for it.
/// \returns ids of upstreams.
[[nodiscard]] std::vector<std::string>
due_queries(weights_plan const& plan, latest_versions const& latest, base::mono_time now);

/// \ingroup duty
/// \brief Time at which the next load is expected to finish, when further orders may be due.
/// \returns nothing when no upstream loads.
[[nodiscard]] std::optional<base::mono_time> next_load_end(weights_plan const& plan,
                                                           base::mono_time now);

/// \ingroup duty
/// \brief State of the upstreams of one model.
struct load_summary
{
    std::size_t assigned = 0;
    /// Upstreams that have a version that every open step accepts and are not loading.
    std::size_t usable = 0;
    std::size_t loading = 0;
    /// Those of `loading` whose new version every open step accepts.
    std::size_t loading_accepted = 0;
};

/// \ingroup duty
/// \brief By model.
using load_summaries = std::map<std::string, load_summary, std::less<>>;

/// \ingroup duty
/// \brief Summarizes the upstreams by model, for metrics and decisions.
[[nodiscard]] load_summaries summarize_loads(weights_plan const& plan, fleet::pool const& pool,
                                             needed_versions const& needed, base::mono_time now);

} // namespace gooseberrywood::duty

#endif
