#include "gateway/weights_orders.hpp"

#include "base/log.hpp"
#include "duty/model_shares.hpp"
#include "duty/needed_versions.hpp"
#include "duty/weights_loads.hpp"
#include "gateway/control_call.hpp"
#include "gateway/job_notices.hpp"
#include "gateway/measure.hpp"
#include "gateway/training_steps.hpp"
#include "platform/control_calls.hpp"
#include "rollout/model_demand.hpp"
#include "rollout/store_keys.hpp"

#include <array>
#include <string_view>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

constexpr base::duration call_timeout = std::chrono::milliseconds(700);

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
    duty::note_order_accepted(upstream, order, now);
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
        duty::note_order_failed(upstream, now);
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
                           order_weights_soon(self);
                       });
}

/// Asks an upstream how many orders it has accepted, which the next order has to state.
void query_order_count(gateway& self, std::string const& id, std::string const& address,
                       base::mono_time now)
{
    start_control_call(self, platform::encode_order_query(address), now + call_timeout,
                       [&self, id](http::fetch_outcome const& answer)
                       {
                           auto* const upstream = find_ordered(self, id);
                           if (upstream == nullptr)
                           {
                               return;
                           }
                           upstream->querying = false;
                           upstream->accepted = platform::decode_order_count(answer);
                           if (!upstream->accepted)
                           {
                               duty::note_order_failed(*upstream, base::mono_now());
                           }
                           order_weights_soon(self);
                       });
}

/// Writes a log line for each upstream that was moved to another model.
void log_moves(duty::weights_plan const& plan, fleet::model_shares const& before)
{
    for (auto const& [id, model] : before)
    {
        auto const it = plan.upstreams.find(id);
        if (it != plan.upstreams.end() && it->second.model != model && !model.empty())
        {
            base::log_line(base::log_level::info, "upstream_moved",
                           {{"upstream", id}, {"from", model}, {"to", it->second.model}});
        }
    }
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

void start_query(gateway& self, std::string const& id, base::mono_time now)
{
    auto const* const known = fleet::find_upstream(self.pool, id);
    auto* const upstream = find_ordered(self, id);
    if (known != nullptr && upstream != nullptr)
    {
        upstream->querying = true;
        query_order_count(self, id, known->record.address, now);
    }
}

void send_due_orders(gateway& self, duty::authority const& authority, base::mono_time now)
{
    for (auto const& order :
         duty::due_orders(self.weights, self.pool, self.named_weights, self.needed_weights, now))
    {
        auto* const upstream = find_ordered(self, order.upstream);
        if (!upstream->accepted)
        {
            start_query(self, order.upstream, now);
            continue;
        }
        upstream->busy = true;
        self.weights.ordered_at[order.model] = now;
        send_order(self, order, authority, now);
    }
    for (auto const& id : duty::due_queries(self.weights, self.named_weights, now))
    {
        start_query(self, id, now);
    }
}

/// Sends the due orders if this process still leads.
void continue_orders(gateway& self)
{
    auto const now = base::mono_now();
    if (auto const authority = duty::active_authority(self.candidate, self.lease.valid_until, now))
    {
        send_due_orders(self, *authority, now);
        if (auto const load_end = duty::next_load_end(self.weights, now))
        {
            self.load_end_timer = base::at(*load_end, [&self] { continue_orders(self); });
        }
    }
}

} // namespace

void order_weights(gateway& self, duty::authority const& authority, base::mono_time now)
{
    if (!self.configuration)
    {
        return;
    }
    auto const steps = training_steps(self);
    self.needed_weights = duty::needed_by(steps);
    bool const urgent_loads_wait = duty::urgent_loads_wait(
        self.weights, self.pool, self.named_weights, self.needed_weights, now);
    auto const shares_before = duty::shares_of(self.weights);
    duty::assign_models(self.weights, self.pool, *self.configuration, self.named_weights,
                        rollout::recent_demand(steps),
                        {now, urgent_loads_wait, rollout::median_intervals(steps)});
    log_moves(self.weights, shares_before);
    publish_shares(self, authority, now);
    continue_orders(self);
}

void order_weights_soon(gateway& self)
{
    if (!self.candidate.held || self.order_soon)
    {
        return;
    }
    self.order_soon = base::soon(
        [&self]
        {
            self.order_soon.reset();
            continue_orders(self);
        });
}

} // namespace gooseberrywood::gateway
