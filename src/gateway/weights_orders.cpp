#include "gateway/weights_orders.hpp"

#include "base/log.hpp"
#include "duty/model_shares.hpp"
#include "gateway/control_call.hpp"
#include "gateway/job_notices.hpp"
#include "gateway/measure.hpp"
#include "platform/control_calls.hpp"
#include "rollout/model_demand.hpp"
#include "rollout/store_keys.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

constexpr base::duration call_timeout = std::chrono::milliseconds(700);

// Typical time of a load while few upstreams load at once.
constexpr base::duration typical_load_time = std::chrono::milliseconds(920);
// An upstream that does not report the version within this time is sent another order.
constexpr base::duration reorder_delay = std::chrono::milliseconds(4000);
constexpr base::duration retry_delay = std::chrono::milliseconds(300);
constexpr base::duration publish_interval = std::chrono::milliseconds(1500);

constexpr std::array<std::string_view, 7> outcome_names = {
    "accepted", "already_holds", "conflict", "fenced", "refused", "unknown", "not_sent"};

duty::upstream_assignment* find_ordered(gateway& self, std::string const& id)
{
    auto const it = self.weights.upstreams.find(id);
    return it != self.weights.upstreams.end() ? &it->second : nullptr;
}

void record_accepted(gateway& self, duty::upstream_assignment& upstream,
                     duty::weights_order const& order, base::mono_time now)
{
    upstream.ordered_version = order.version;
    upstream.loaded_at = now + typical_load_time;
    upstream.retry_at = now + reorder_delay;
    notify_weights_loading(self, order.upstream, {order.model, order.version, upstream.loaded_at});
}

void record_outcome(gateway& self, duty::upstream_assignment& upstream,
                    duty::weights_order const& order, duty::order_outcome outcome,
                    base::mono_time now)
{
    switch (outcome)
    {
    case duty::order_outcome::accepted:
        record_accepted(self, upstream, order, now);
        upstream.accepted = order.accepted + 1;
        break;
    case duty::order_outcome::already_holds:
        fleet::note_weights(self.pool, order.upstream, order.model, order.version);
        break;
    case duty::order_outcome::unknown:
        record_accepted(self, upstream, order, now);
        upstream.accepted.reset();
        break;
    case duty::order_outcome::fenced:
        duty::note_leadership_lost(self.candidate, self.settings.leader_turn, now);
        break;
    case duty::order_outcome::conflict:
    case duty::order_outcome::refused:
    case duty::order_outcome::not_sent:
        upstream.accepted.reset();
        upstream.ordered_version = order.version;
        upstream.loaded_at = {};
        upstream.retry_at = now + retry_delay;
        break;
    }
}

void send_order(gateway& self, duty::weights_order const& order, duty::authority const& authority,
                base::mono_time now)
{
    start_control_call(self, platform::encode_order(order, authority), now + call_timeout,
                       [&self, order, authority](http::fetch_outcome const& answer)
                       {
                           auto const outcome = platform::decode_order_outcome(answer);
                           count_order(self, outcome_names.at(static_cast<std::size_t>(outcome)));
                           base::log_line(
                               base::log_level::info, "weights_ordered",
                               {{"upstream", order.upstream},
                                {"model", order.model},
                                {"version", std::int64_t{order.version}},
                                {"fencing", static_cast<std::int64_t>(authority.fencing)},
                                {"accepted_before", static_cast<std::int64_t>(order.accepted)},
                                {"outcome", outcome_names.at(static_cast<std::size_t>(outcome))}});
                           if (auto* const upstream = find_ordered(self, order.upstream))
                           {
                               upstream->busy = false;
                               record_outcome(self, *upstream, order, outcome, base::mono_now());
                           }
                       });
}

/// Asks an upstream how many orders it has accepted, which the next order has to state.
void query_order_count(gateway& self, duty::weights_order const& order, base::mono_time now)
{
    start_control_call(
        self, platform::encode_order_query(order.address), now + call_timeout,
        [&self, id = order.upstream, version = order.version](http::fetch_outcome const& answer)
        {
            auto* const upstream = find_ordered(self, id);
            if (upstream == nullptr)
            {
                return;
            }
            upstream->busy = false;
            upstream->accepted = platform::decode_order_count(answer);
            if (!upstream->accepted)
            {
                upstream->ordered_version = version;
                upstream->loaded_at = {};
                upstream->retry_at = base::mono_now() + retry_delay;
            }
        });
}

/// Expected output tokens of recent steps.
rollout::model_demand demand_of(shared_view const& shared)
{
    std::vector<rollout::job_record const*> records;
    records.reserve(shared.records.size());
    for (auto const& [id, stored] : shared.records)
    {
        records.push_back(&stored.record);
    }
    return rollout::recent_demand(records);
}

/// Publishes the assignment of models to upstreams to all processes.
void publish_shares(gateway& self, duty::authority const& authority, base::mono_time now)
{
    auto shares = duty::shares_of(self.weights);
    if (shares == self.pool.shares || now < self.publish_shares_at)
    {
        return;
    }
    // Not written again until a read can show the outcome.
    self.publish_shares_at = now + publish_interval;
    store::transaction write;
    write.expected.push_back({std::string(rollout::leader_key), authority.fencing});
    write.writes.push_back({std::string(rollout::shares_key), duty::encode_shares(shares), 0});
    self.store.commit_transaction(
        write, now + store_call_timeout,
        [&self, shares = std::move(shares)](base::result<store::commit> const& outcome)
        {
            if (outcome && outcome->committed)
            {
                self.shared.shares = shares;
                self.pool.shares = shares;
                return;
            }
            base::log_line(
                base::log_level::warning, "shares_not_written",
                {{"reason", outcome ? "another process is the leader" : outcome.error().message}});
        });
}

/// Oldest weights version of each model that every open job accepts.
fleet::weight_versions needed_versions(shared_view const& shared)
{
    fleet::weight_versions needed;
    for (auto const& [id, stored] : shared.records)
    {
        auto const& record = stored.record;
        if (!record.ended)
        {
            auto& least = needed[record.model];
            least = std::max(least, record.least_version);
        }
    }
    return needed;
}

} // namespace

void order_weights(gateway& self, duty::authority const& authority, base::mono_time now)
{
    if (!self.configuration)
    {
        return;
    }
    duty::assign_models(self.weights, self.pool, *self.configuration, self.named_weights,
                        demand_of(self.shared));
    publish_shares(self, authority, now);
    auto const needed = needed_versions(self.shared);
    for (auto const& order :
         duty::due_orders(self.weights, self.pool, self.named_weights, needed, now))
    {
        auto* const upstream = find_ordered(self, order.upstream);
        upstream->busy = true;
        self.weights.ordered_at[order.model] = now;
        if (upstream->accepted)
        {
            send_order(self, order, authority, now);
        }
        else
        {
            query_order_count(self, order, now);
        }
    }
}

} // namespace gooseberrywood::gateway
