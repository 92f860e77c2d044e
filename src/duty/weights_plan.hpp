#ifndef GOOSEBERRYWOOD_DUTY_WEIGHTS_PLAN_HPP
#define GOOSEBERRYWOOD_DUTY_WEIGHTS_PLAN_HPP

#include "base/time.hpp"
#include "duty/weights_order.hpp"
#include "fleet/configuration.hpp"
#include "fleet/pool.hpp"
#include "rollout/model_demand.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief What the leader knows of the orders to one upstream.
struct upstream_assignment
{
    /// Model whose versions it follows.
    std::string model;
    /// Number of orders that it has accepted; absent until it was asked.
    std::optional<std::uint64_t> accepted;
    /// Start of the incarnation that `accepted` belongs to.
    std::int64_t started_ms = 0;
    /// Version of the last order that was accepted or may have been.
    std::uint32_t ordered_version = 0;
    /// The load of that order is expected to be over by then.
    base::mono_time loaded_at{};
    /// Not ordered again before this, unless a newer version is named.
    base::mono_time retry_at{};
    /// A call to it is running.
    bool busy = false;
};

/// \ingroup duty
/// \brief State of the plan. The leader alone has one; a new leader starts with an empty one.
struct weights_plan
{
    std::map<std::string, upstream_assignment, std::less<>> upstreams;
    /// When an upstream of a model was last ordered.
    std::map<std::string, base::mono_time> ordered_at;
};

/// \ingroup duty
/// \brief Newest version of each model.
using latest_versions = fleet::weight_versions;

/// \ingroup duty
/// \brief Gives each upstream of the engines one model to follow, so that a new version of one
/// model stops only its share of the upstreams. Shares follow the demand, are spread over failure
/// domains, and change only when they are off by more than one upstream.
///
/// Load pattern: trainers whose steps differ several times in size submit them at the same time.
/// With equal shares the large ones fall behind while the upstreams of the small ones stand idle.
/// \param demand models without an entry count as usual.
void assign_models(weights_plan& plan, fleet::pool const& pool, fleet::configuration const& in,
                   latest_versions const& named, rollout::model_demand const& demand);

/// \ingroup duty
/// \brief The model that each upstream follows.
[[nodiscard]] fleet::model_shares shares_of(weights_plan const& plan);

/// \ingroup duty
/// \brief Starts a plan from the shares that an earlier leader has given.
[[nodiscard]] weights_plan restore_plan(fleet::model_shares const& shares, fleet::pool const& pool);

/// \ingroup duty
/// \brief The upstreams that are to be ordered now: first those whose version is too old for a job
/// that runs, of the models in turn, each time the least busy.
///
/// Load pattern: a new version every few seconds for each trainer, all of them together at the
/// limit of what can be loaded, and each with a new step of a hundred samples at once. Few
/// upstreams load at once, and no model falls behind the others. A step that needs newer weights
/// than its upstreams hold stands still, so that these go first.
///
/// \param needed oldest version that all running jobs of a model accept.
[[nodiscard]] std::vector<weights_order>
due_orders(weights_plan const& plan, fleet::pool const& pool, latest_versions const& named,
           fleet::weight_versions const& needed, base::mono_time now);

} // namespace gooseberrywood::duty

#endif
