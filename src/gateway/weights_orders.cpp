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

// Usual time of a load while few upstreams load at once.
constexpr base::duration load_time = std::chrono::milliseconds(920);
// An upstream that does not show the version by then is ordered again.
constexpr base::duration order_again = std::chrono::milliseconds(4000);
constexpr base::duration retry_pause = std::chrono::milliseconds(300);
constexpr base::duration publish_pause = std::chrono::milliseconds(1500);

constexpr std::array<std::string_view, 7> outcome_names = {
    "accepted", "already_holds", "conflict", "fenced", "refused", "unknown", "not_sent"};

duty::ordered_upstream* find(gateway& self, std::string const& id)
{
    auto const at = self.weights.upstreams.find(id);
    return at != self.weights.upstreams.end() ? &at->second : nullptr;
}

void note_accepted(gateway& self, duty::ordered_upstream& known, duty::weights_order const& order,
                   base::mono_time now)
{
    known.ordered_version = order.version;
    known.loaded_at = now + load_time;
    known.retry_at = now + order_again;
    notify_weights_loading(self, order.upstream, {order.model, order.version, known.loaded_at});
}

void note_outcome(gateway& self, duty::ordered_upstream& known, duty::weights_order const& order,
                  duty::order_outcome outcome, base::mono_time now)
{
    switch (outcome)
    {
    case duty::order_outcome::accepted:
        note_accepted(self, known, order, now);
        known.accepted = order.accepted + 1;
        break;
    case duty::order_outcome::already_holds:
        fleet::note_weights(self.pool, order.upstream, order.model, order.version);
        break;
    case duty::order_outcome::unknown:
        note_accepted(self, known, order, now);
        known.accepted.reset();
        break;
    case duty::order_outcome::fenced:
        duty::note_lost(self.candidate, self.settings.leader_turn, now);
        break;
    case duty::order_outcome::conflict:
    case duty::order_outcome::refused:
    case duty::order_outcome::not_sent:
        known.accepted.reset();
        known.ordered_version = order.version;
        known.retry_at = now + retry_pause;
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
                           if (auto* const known = find(self, order.upstream))
                           {
                               known->busy = false;
                               note_outcome(self, *known, order, outcome, base::mono_now());
                           }
                       });
}

void ask_count(gateway& self, duty::weights_order const& order, base::mono_time now)
{
    start_control_call(
        self, platform::encode_order_query(order.address), now + call_timeout,
        [&self, id = order.upstream, version = order.version](http::fetch_outcome const& answer)
        {
            auto* const known = find(self, id);
            if (known == nullptr)
            {
                return;
            }
            known->busy = false;
            known->accepted = platform::decode_order_count(answer);
            if (!known->accepted)
            {
                known->ordered_version = version;
                known->retry_at = base::mono_now() + retry_pause;
            }
        });
}

/// Expected output tokens of the last steps.
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

/// Tells all processes which upstreams serve which model.
void publish_shares(gateway& self, duty::authority const& authority, base::mono_time now)
{
    auto shares = duty::shares_of(self.weights);
    if (shares == self.pool.shares || now < self.publish_shares_at)
    {
        return;
    }
    // Not written again before a read has shown what became of it.
    self.publish_shares_at = now + publish_pause;
    store::transaction write;
    write.expected.push_back({std::string(rollout::leader_key), authority.fencing});
    write.writes.push_back({std::string(rollout::shares_key), duty::encode_shares(shares), 0});
    self.store.commit_all(
        write, now + store_call_timeout,
        [&self, shares = std::move(shares)](base::result<store::commit> const& outcome)
        {
            if (outcome && outcome->done)
            {
                self.shared.shares = shares;
                self.pool.shares = shares;
                return;
            }
            base::log_line(
                base::log_level::warning, "shares_not_written",
                {{"reason", outcome ? "another process leads" : outcome.error().message}});
        });
}

/// Oldest version that all running jobs of a model accept.
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
    duty::assign_models(self.weights, self.pool, *self.configuration, self.named,
                        demand_of(self.shared));
    publish_shares(self, authority, now);
    auto const needed = needed_versions(self.shared);
    for (auto const& order : duty::orders_due(self.weights, self.pool, self.named, needed, now))
    {
        auto* const known = find(self, order.upstream);
        known->busy = true;
        self.weights.ordered_at[order.model] = now;
        if (known->accepted)
        {
            send_order(self, order, authority, now);
        }
        else
        {
            ask_count(self, order, now);
        }
    }
}

} // namespace gooseberrywood::gateway
