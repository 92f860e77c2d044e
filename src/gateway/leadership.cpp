#include "gateway/leadership.hpp"

#include "base/log.hpp"
#include "gateway/measure.hpp"
#include "gateway/refresh.hpp"
#include "gateway/usage_reports.hpp"
#include "gateway/weights_orders.hpp"
#include "platform/operator_state.hpp"
#include "rollout/store_keys.hpp"

#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

constexpr base::duration duty_interval = std::chrono::milliseconds(100);

/// Reports each retiring host as retired. The service keeps no data on local disks, so nothing has
/// to be moved off a host first.
void report_retired_hosts(gateway& self)
{
    for (auto const& host : self.retiring_hosts)
    {
        if (!self.retired_hosts.insert(host).second)
        {
            continue;
        }
        base::log_line(base::log_level::info, "host_retired", {{"host", host}});
        self.store.commit_transaction(platform::encode_host_retired(host),
                                      base::mono_now() + store_call_timeout,
                                      [&self, host](base::result<store::commit> const& outcome)
                                      {
                                          if (!outcome)
                                          {
                                              self.retired_hosts.erase(host);
                                          }
                                      });
    }
}

void perform_duties(gateway& self)
{
    auto const now = base::mono_now();
    store_usage_counts(self);
    if (auto const authority = duty::active_authority(self.candidate, self.lease.valid_until, now))
    {
        report_retired_hosts(self);
        order_weights(self, *authority, now);
        report_usage(self, *authority);
    }
}

void begin_term(gateway& self, std::uint64_t fencing)
{
    self.candidate.held = duty::authority{self.settings.host, fencing};
    self.weights = duty::restore_plan(self.shared.shares, self.pool);
    self.retired_hosts.clear();
    count_change(self, "leadership_gained");
    base::log_line(base::log_level::info, "leadership_gained",
                   {{"fencing", static_cast<std::int64_t>(fencing)}});
    refresh_for_duties(self);
    perform_duties(self);
}

void end_term(gateway& self, std::string_view reason)
{
    count_change(self, "leadership_lost");
    base::log_line(base::log_level::warning, "leadership_lost", {{"reason", reason}});
    duty::note_leadership_lost(self.candidate, self.settings.leader_turn, base::mono_now());
}

void apply_for_leadership(gateway& self)
{
    self.candidate.busy = true;
    store::transaction transaction;
    std::string const key(rollout::leader_key);
    transaction.expected.push_back({key, 0});
    transaction.writes.push_back({key, own_mark(self), self.lease.id});
    self.store.commit_transaction(transaction, base::mono_now() + store_call_timeout,
                                  [&self](base::result<store::commit> const& outcome)
                                  {
                                      self.candidate.busy = false;
                                      if (outcome && outcome->committed)
                                      {
                                          begin_term(self, outcome->revision);
                                      }
                                  });
}

} // namespace

void start_leadership(gateway& self)
{
    if (!self.settings.first_start)
    {
        self.candidate.not_before = base::mono_now() + self.settings.leader_turn;
    }
    self.leader_timer = base::every(duty_interval, [&self] { perform_duties(self); });
}

void check_leadership(gateway& self)
{
    auto const now = base::mono_now();
    auto const& leader = self.shared.leader;
    bool const is_own = leader && has_lease(self, now) && leader->value == own_mark(self);
    auto& candidate = self.candidate;
    if (candidate.held && !candidate.busy)
    {
        // A view that was read before this process gained the leadership is ignored.
        bool const is_outdated_view = leader && leader->revision < candidate.held->fencing;
        bool const is_missing = !leader && self.shared.read_at > self.lease.renew_at;
        if (!is_outdated_view && !is_own && (leader || is_missing))
        {
            end_term(self, "the store names another leader or none");
        }
        return;
    }
    if (is_own && !candidate.held && !candidate.busy && now >= candidate.not_before)
    {
        // The transaction took effect, but its result was lost.
        begin_term(self, leader->revision);
        return;
    }
    if (!self.stopping &&
        duty::should_campaign(candidate, leader.has_value(), self.lease.valid_until, now))
    {
        apply_for_leadership(self);
    }
}

void resign(gateway& self)
{
    if (!self.candidate.held)
    {
        return;
    }
    store::transaction transaction;
    std::string const key(rollout::leader_key);
    transaction.expected.push_back({key, self.candidate.held->fencing});
    transaction.removals.push_back(key);
    end_term(self, "the process is stopping");
    self.store.commit_transaction(transaction, base::mono_now() + store_call_timeout,
                                  [](base::result<store::commit> const&) {});
}

} // namespace gooseberrywood::gateway
