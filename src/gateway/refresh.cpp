#include "gateway/refresh.hpp"

#include "base/log.hpp"
#include "gateway/shared_entries.hpp"
#include "platform/operator_state.hpp"
#include "platform/upstream_entry.hpp"
#include "platform/words.hpp"
#include "rollout/store_keys.hpp"
#include "store/list_all.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

// Part of the time for a change after which the lists are read again. Reads that find nothing new
// cost as much as others.
constexpr double listing_part = 0.6;

// Jobs without an owner stand still until some process finds them. The processes together read at
// the rate at which a few would.
constexpr base::duration shared_interval_of_few = std::chrono::milliseconds(700);
constexpr double few_members = 4;
constexpr base::duration shared_interval_max = std::chrono::milliseconds(1500);
// While there are such jobs, the next read shows whether they have got an owner.
constexpr base::duration orphan_interval = std::chrono::milliseconds(150);
constexpr base::duration retry_interval = std::chrono::milliseconds(200);
constexpr base::duration call_timeout = std::chrono::milliseconds(1500);

// After an outage the upstreams that live are listed again within about two seconds.
constexpr base::duration outage_after = std::chrono::milliseconds(2500);
constexpr base::duration return_time = std::chrono::milliseconds(2300);

// A request that passed the check begins to run within this time.
constexpr base::duration key_margin = std::chrono::milliseconds(300);

// A sample that is sent now reaches its upstream within this time.
constexpr base::duration job_end_margin = std::chrono::milliseconds(300);

using items = std::vector<store::item>;

/// What a poller reads, how often, and who takes it.
struct poll_plan
{
    std::string_view prefix;
    std::function<base::duration()> interval;
    std::function<void(items const&, base::mono_time sent_at)> take;
};

void poll(gateway& self, poller& with, poll_plan const& plan);

void poll_again(gateway& self, poller& with, poll_plan const& plan, base::duration pause)
{
    with.timer =
        base::at(base::mono_now() + pause, [&self, &with, plan] { poll(self, with, plan); });
}

void note_reach(poller& with, std::string_view prefix, bool failing, std::string_view reason)
{
    if (failing != with.failing)
    {
        base::log_line(failing ? base::log_level::warning : base::log_level::info,
                       failing ? "store_read_fails" : "store_read_works",
                       {{"prefix", prefix}, {"reason", reason}});
    }
    with.failing = failing;
}

void poll(gateway& self, poller& with, poll_plan const& plan)
{
    auto const sent_at = base::mono_now();
    store::list_all(self.store, std::string(plan.prefix), "", sent_at + call_timeout,
                    [&self, &with, plan, sent_at](base::result<items> const& read)
                    {
                        note_reach(with, plan.prefix, !read, read ? "" : read.error().message);
                        if (read)
                        {
                            plan.take(*read, sent_at);
                            with.confirmed_at = sent_at;
                        }
                        poll_again(self, with, plan, read ? plan.interval() : retry_interval);
                    });
}

void apply_configuration(gateway& self, platform::operator_state const& state)
{
    if (!state.configuration || state.configuration_revision <= self.configuration_revision)
    {
        return;
    }
    auto decoded = platform::decode_configuration(*state.configuration);
    if (!decoded)
    {
        base::log_line(base::log_level::error, "configuration_rejected",
                       {{"code", decoded.error().code}, {"reason", decoded.error().message}});
        return;
    }
    base::log_line(base::log_level::info, "configuration_applied",
                   {{"version", static_cast<std::int64_t>(decoded->version)},
                    {"revision", static_cast<std::int64_t>(state.configuration_revision)},
                    {"routes", static_cast<std::int64_t>(decoded->routes.size())}});
    self.configuration = std::move(*decoded);
    self.configuration_revision = state.configuration_revision;
}

void take_operator_state(gateway& self, items const& read)
{
    auto const state = platform::decode_operator_state(read);
    apply_configuration(self, state);
    if (state.domains_out != self.pool.domains_out)
    {
        base::log_line(base::log_level::info, "domains_out_changed",
                       {{"count", static_cast<std::int64_t>(state.domains_out.size())}});
    }
    self.pool.domains_out = state.domains_out;
    self.retiring_hosts = state.retiring_hosts;
    for (auto const& [model, version] : state.named_versions)
    {
        auto& known = self.named[model];
        if (version > known)
        {
            base::log_line(base::log_level::info, "weights_named",
                           {{"model", model}, {"version", std::int64_t{version}}});
            known = version;
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

void take_upstreams(gateway& self, items const& read, base::mono_time sent_at)
{
    auto const now = base::mono_now();
    bool const was_away = self.upstream_poller.confirmed_at != base::mono_time{} &&
                          sent_at - self.upstream_poller.confirmed_at > outage_after;
    if (was_away)
    {
        self.pool.keep_missing_until = now + return_time;
    }
    auto const change =
        fleet::apply_list(self.pool, platform::decode_upstreams(read, sent_at), now);
    log_ids("upstream_added", change.added);
    log_ids("upstream_draining", change.draining);
    log_ids("upstream_removed", change.removed);
}

/// Pause between two reads of a list.
base::duration pause_for(base::duration in_effect)
{
    return std::chrono::duration_cast<base::duration>(in_effect * listing_part);
}

base::duration shared_pause(gateway const& self)
{
    if (!self.shared.assign_orphan_at.empty())
    {
        return orphan_interval;
    }
    auto const members = static_cast<double>(self.shared.members.size());
    auto const times = std::max(1.0, members / few_members);
    return std::min(shared_interval_max,
                    std::chrono::duration_cast<base::duration>(shared_interval_of_few * times));
}

poll_plan shared_plan(gateway& self)
{
    return {rollout::shared_prefix, [&self] { return shared_pause(self); },
            [&self](items const& read, base::mono_time sent_at)
            {
                take_shared_entries(self, read, sent_at);
            }};
}

} // namespace

void start_refresh(gateway& self)
{
    poll(self, self.operator_poller,
         {platform::store_keys::operator_prefix,
          [&self] { return pause_for(self.settings.configuration_in_effect); },
          [&self](items const& read, base::mono_time)
          {
              take_operator_state(self, read);
          }});
    poll(self, self.upstream_poller,
         {platform::store_keys::upstream_prefix,
          [&self] { return pause_for(self.settings.departure_in_effect); },
          [&self](items const& read, base::mono_time sent_at)
          {
              take_upstreams(self, read, sent_at);
          }});
    poll(self, self.shared_poller, shared_plan(self));
}

void refresh_shared_now(gateway& self)
{
    poll_again(self, self.shared_poller, shared_plan(self), {});
}

bool may_trust_keys(gateway const& self, base::mono_time now)
{
    auto const confirmed = self.operator_poller.confirmed_at;
    return self.configuration && confirmed != base::mono_time{} &&
           now < confirmed + self.settings.key_withdrawal - key_margin;
}

base::mono_time store_reached_at(gateway const& self)
{
    return std::max({self.operator_poller.confirmed_at, self.upstream_poller.confirmed_at,
                     self.shared_poller.confirmed_at});
}

bool knows_ended_jobs(gateway const& self, base::mono_time now)
{
    return now < self.shared.read_at + self.settings.job_end - job_end_margin;
}

} // namespace gooseberrywood::gateway
