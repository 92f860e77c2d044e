#ifndef GOOSEBERRYWOOD_DUTY_WEIGHTS_PLAN_HPP
#define GOOSEBERRYWOOD_DUTY_WEIGHTS_PLAN_HPP

#include "base/time.hpp"
#include "fleet/configuration.hpp"
#include "fleet/pool.hpp"
#include "rollout/model_demand.hpp"
#include "rollout/training_step.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief Model assigned to an upstream, and the state of the orders to it as the leader knows it.
struct upstream_assignment
{
    /// Model whose versions the upstream is ordered to load.
    std::string model;
    /// Number of orders that the upstream has accepted; absent while it is unknown.
    std::optional<std::uint64_t> accepted;
    /// Start of the incarnation that `accepted` belongs to.
    std::int64_t started_ms = 0;
    /// Version of the last order.
    std::uint32_t ordered_version = 0;
    /// Time by which the load of that order is expected to have finished.
    base::mono_time loaded_at{};
    /// The order is not repeated before this time, unless there is a newer version.
    base::mono_time retry_at{};
    /// After a move, the upstream is not moved to another model before this time.
    base::mono_time stays_until{};
    /// No order for any version is sent before this time, since the last one failed.
    base::mono_time order_at{};
    /// Set while an order is being sent to the upstream.
    bool busy = false;
    /// Set while the number of accepted orders is being read.
    bool querying = false;
};

/// \ingroup duty
/// \brief Assignment of models to upstreams and the state of the orders. Only the leader maintains
/// one; a new leader restores the models from the stored shares.
struct weights_plan
{
    /// By id of the upstream.
    std::map<std::string, upstream_assignment, std::less<>> upstreams;
    /// Time of the last order to any upstream of a model, by model.
    std::map<std::string, base::mono_time> ordered_at;
};

/// \ingroup duty
/// \brief Newest version of the weights, by model.
using latest_versions = fleet::weight_versions;

/// \ingroup duty
/// \brief Time after the end of a load by which the upstream shows the new version. The list shows
/// it up to two seconds late. After this time the load is taken to have failed.
inline constexpr base::duration report_delay = std::chrono::milliseconds(3080);

/// \ingroup duty
/// \brief What decides whether upstreams may be moved to another model.
struct move_conditions
{
    base::mono_time now{};
    /// Set while upstreams that are too old for an open step wait to load. Each move costs a load.
    bool urgent_loads_wait = false;
    /// An upstream that was moved stays for one step of its new model.
    rollout::step_intervals intervals;
};

/// \ingroup duty
/// \brief Assigns one model to each upstream of the services that have models, so that a new
/// version of a model interrupts only its share of the upstreams. The shares are proportional to
/// the demand, are spread over the failure domains, and change only when one deviates by 1.5
/// upstreams or more. The least busy upstream of a share moves first, then the one with the oldest
/// load. While urgent loads wait, only a model without any upstream gets one.
///
/// Load pattern: trainers submit steps at the same time that differ in size by a factor of several.
/// With equal shares the large ones fall behind while the upstreams of the small ones are idle.
/// \param demand models without an entry count with the mean of the others.
void assign_models(weights_plan& plan, fleet::pool const& pool,
                   fleet::configuration const& configuration, latest_versions const& latest,
                   rollout::model_demand const& demand, move_conditions const& conditions);

/// \ingroup duty
/// \brief Number of upstreams that each model should have in proportion to the demand.
[[nodiscard]] std::map<std::string, double, std::less<>>
target_shares(fleet::service const& service, std::size_t upstreams,
              rollout::model_demand const& demand);

/// \ingroup duty
/// \brief The model that is assigned to each upstream.
[[nodiscard]] fleet::model_shares shares_of(weights_plan const& plan);

/// \ingroup duty
/// \brief Restores a plan from the shares that an earlier leader has published.
[[nodiscard]] weights_plan restore_plan(fleet::model_shares const& shares, fleet::pool const& pool);

} // namespace gooseberrywood::duty

#endif
