#include "gateway/refresh.hpp"

#include "base/log.hpp"
#include "gateway/caller_limits.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/list_exchange.hpp"
#include "gateway/list_polling.hpp"
#include "gateway/permits.hpp"
#include "gateway/sample_runs.hpp"
#include "gateway/shared_entries.hpp"
#include "gateway/unsent_requests.hpp"
#include "gateway/weights_orders.hpp"
#include "platform/operator_state.hpp"
#include "platform/protocol_names.hpp"
#include "platform/upstream_entry.hpp"
#include "rollout/store_keys.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

// Fractions of the time within which a change must take effect. The first is the interval at which
// gateways read a list or request it from another gateway; the second is the age up to which a read
// by another gateway is accepted.
constexpr double list_interval_fraction = 0.3;
constexpr double max_age_fraction = 0.5;
// After this fraction of that time, a change that is not known here may be in effect elsewhere.
constexpr double current_fraction = 0.8;

// Interval and maximum age of the list of shared entries. Jobs without an owner stall until a
// process finds them there.
constexpr base::duration shared_list_interval = std::chrono::milliseconds(500);
constexpr base::duration shared_max_age = std::chrono::milliseconds(1200);
// The leader reads the operator's list at this interval, since it orders new weights as soon as it
// reads that the operator has named them.
constexpr base::duration leader_list_interval = std::chrono::milliseconds(400);
// Interval for the shared entries while this process assigns owners to jobs that have none: the
// next read shows whether they were assigned one.
constexpr base::duration orphan_list_interval = std::chrono::milliseconds(150);
// A longer time between two reads of the upstreams counts as a store outage. After one, live
// upstreams are listed again within about two seconds. Missing ones are kept until then.
constexpr base::duration outage_threshold = std::chrono::milliseconds(2500);
constexpr base::duration relist_period = std::chrono::milliseconds(2300);

// A request that passed the key check starts to run within this time.
constexpr base::duration key_withdrawal_margin = std::chrono::milliseconds(300);

// A sample that is sent now reaches its upstream within this time.
constexpr base::duration job_end_margin = std::chrono::milliseconds(300);

using items = std::vector<store::item>;

void apply_configuration(gateway& self, platform::operator_state const& state)
{
    if (!state.configuration || state.configuration_revision <= self.configuration_revision)
    {
        return;
    }
    auto decoded = platform::decode_configuration(*state.configuration);
    if (!decoded)
    {
        if (state.configuration_revision != self.rejected_configuration_revision)
        {
            base::log_line(base::log_level::error, "configuration_rejected",
                           {{"code", decoded.error().code}, {"reason", decoded.error().message}});
        }
        self.rejected_configuration_revision = state.configuration_revision;
        return;
    }
    base::log_line(base::log_level::info, "configuration_applied",
                   {{"version", static_cast<std::int64_t>(decoded->version)},
                    {"revision", static_cast<std::int64_t>(state.configuration_revision)},
                    {"routes", static_cast<std::int64_t>(decoded->routes.size())},
                    {"idle_timeout_us", decoded->limits.idle_timeout.count()}});
    self.configuration = std::move(*decoded);
    self.configuration_revision = state.configuration_revision;
    apply_client_limits(self, self.configuration->limits);
}

void apply_operator_state(gateway& self, items const& read)
{
    auto const state = platform::decode_operator_state(read);
    apply_configuration(self, state);
    log_unreadable(self.operator_poller.unreadable, state.unreadable, base::mono_now());
    if (state.domains_out != self.pool.domains_out)
    {
        base::log_line(base::log_level::info, "domains_out_changed",
                       {{"count", static_cast<std::int64_t>(state.domains_out.size())}});
    }
    self.pool.domains_out = state.domains_out;
    withdraw_unsent(self);
    self.retiring_hosts = state.retiring_hosts;
    for (auto const& [model, version] : state.latest_versions)
    {
        auto& known = self.named_weights[model];
        if (version > known)
        {
            base::log_line(base::log_level::info, "weights_named",
                           {{"model", model}, {"version", std::int64_t{version}}});
            known = version;
            order_weights_soon(self);
        }
    }
}

void log_ids(std::string_view event, std::vector<std::string> const& ids)
{
    for (auto const& id : ids)
    {
        base::log_line(base::log_level::info, event, {{"upstream", id}});
    }
}

void apply_upstreams(gateway& self, items const& read, base::mono_time read_at)
{
    auto const now = base::mono_now();
    bool const had_outage = self.upstream_poller.confirmed_at != base::mono_time{} &&
                            read_at - self.upstream_poller.confirmed_at > outage_threshold;
    if (had_outage)
    {
        self.pool.keep_missing_until = now + relist_period;
    }
    std::vector<platform::unreadable_entry> skipped;
    auto const listed = platform::decode_upstreams(read, read_at, &skipped);
    log_unreadable(self.upstream_poller.unreadable, skipped, now);
    auto const change = fleet::apply_list(self.pool, listed, now);
    discard_unused_buckets(self);
    review_crashes(self, read_at);
    abort_runs_on_replaced_upstreams(self);
    log_ids("upstream_added", change.added);
    log_ids("upstream_draining", change.draining);
    log_ids("upstream_removed", change.removed);
    withdraw_unsent(self);
}

base::duration fraction_of(base::duration limit, double fraction)
{
    return std::chrono::duration_cast<base::duration>(limit * fraction);
}

bool always_false()
{
    return false;
}

bool leads(gateway const& self)
{
    return self.candidate.held.has_value();
}

poll_plan operator_plan(gateway& self)
{
    auto const in_effect = self.settings.configuration_in_effect;
    return {platform::store_keys::operator_prefix,
            [&self, in_effect] {
                return leads(self) ? leader_list_interval
                                   : fraction_of(in_effect, list_interval_fraction);
            },
            fraction_of(in_effect, max_age_fraction), [&self] { return leads(self); },
            [&self](items const& read, base::mono_time)
            {
                apply_operator_state(self, read);
            }};
}

poll_plan upstream_plan(gateway& self)
{
    auto const in_effect = self.settings.departure_in_effect;
    return {platform::store_keys::upstream_prefix,
            [in_effect] { return fraction_of(in_effect, list_interval_fraction); },
            fraction_of(in_effect, max_age_fraction),
            always_false,
            [&self](items const& read, base::mono_time read_at)
            { apply_upstreams(self, read, read_at); },
            platform::max_upstream_entry_bytes + 1};
}

poll_plan shared_plan(gateway& self)
{
    return {rollout::shared_prefix,
            [&self]
            {
                bool const assigns_orphans =
                    reads_for_others(self) && !self.shared.assign_orphan_at.empty();
                return assigns_orphans ? orphan_list_interval : shared_list_interval;
            },
            shared_max_age, always_false,
            [&self](items const& read, base::mono_time read_at)
            {
                apply_shared_entries(self, read, read_at);
            }};
}

} // namespace

void start_refresh(gateway& self)
{
    start_polling(self, self.operator_poller, operator_plan(self));
    start_polling(self, self.upstream_poller, upstream_plan(self));
    start_polling(self, self.shared_poller, shared_plan(self));
}

void refresh_shared_now(gateway& self)
{
    read_list_now(self, self.shared_poller, shared_plan(self));
}

void refresh_for_duties(gateway& self)
{
    read_list_now(self, self.operator_poller, operator_plan(self));
    read_list_now(self, self.upstream_poller, upstream_plan(self));
}

poller const* find_list_poller(gateway const& self, std::string_view prefix)
{
    if (prefix == platform::store_keys::operator_prefix)
    {
        return &self.operator_poller;
    }
    if (prefix == platform::store_keys::upstream_prefix)
    {
        return &self.upstream_poller;
    }
    return prefix == rollout::shared_prefix ? &self.shared_poller : nullptr;
}

bool has_current_keys(gateway const& self, base::mono_time now)
{
    auto const confirmed = self.operator_poller.confirmed_at;
    return self.configuration && confirmed != base::mono_time{} &&
           now < confirmed + self.settings.key_withdrawal - key_withdrawal_margin;
}

bool has_current_configuration(gateway const& self, base::mono_time now)
{
    auto const confirmed = self.operator_poller.confirmed_at;
    return self.configuration && confirmed != base::mono_time{} &&
           now < confirmed + fraction_of(self.settings.configuration_in_effect, current_fraction);
}

base::mono_time last_store_read_at(gateway const& self)
{
    return std::max({self.operator_poller.confirmed_at, self.upstream_poller.confirmed_at,
                     self.shared_poller.confirmed_at});
}

bool has_current_upstreams(gateway const& self, base::mono_time now)
{
    auto const confirmed = self.upstream_poller.confirmed_at;
    return confirmed != base::mono_time{} && now < confirmed + self.settings.departure_in_effect;
}

bool has_current_job_ends(gateway const& self, base::mono_time now)
{
    return now < self.shared.read_at + self.settings.job_end - job_end_margin;
}

} // namespace gooseberrywood::gateway
