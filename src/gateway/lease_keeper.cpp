#include "gateway/lease_keeper.hpp"

#include "base/log.hpp"
#include "base/parse_number.hpp"
#include "gateway/choose_owner.hpp"
#include "gateway/job_ownership.hpp"
#include "gateway/leadership.hpp"
#include "gateway/measure.hpp"
#include "gateway/refresh.hpp"
#include "lease/drift_margin.hpp"
#include "rollout/store_keys.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::gateway
{

namespace
{

// A dead owner's jobs stand still for this long; a pause of the store up to it changes nothing.
constexpr base::duration lease_length = std::chrono::milliseconds(2000);
constexpr base::duration renew_interval = std::chrono::milliseconds(500);
constexpr base::duration call_timeout = std::chrono::milliseconds(800);
constexpr base::duration tick = std::chrono::milliseconds(150);
// Pauses after a call that failed. A lease that still holds is worth a quicker try than a new one.
constexpr base::duration renew_again = std::chrono::milliseconds(300);
constexpr base::duration grant_again = std::chrono::milliseconds(600);

base::mono_time deadline_of_lease(base::mono_time sent_at)
{
    return sent_at + lease_length - lease::drift_margin(lease_length);
}

/// Ends the lease of an earlier incarnation on this host, so that its jobs are free at once.
void end_earlier_lease(gateway& self, std::uint64_t lease)
{
    base::log_line(base::log_level::info, "earlier_lease_ended",
                   {{"lease", static_cast<std::int64_t>(lease)}});
    self.store.revoke(lease, base::mono_now() + call_timeout,
                      [&self](auto const&) { refresh_shared_now(self); });
}

/// The lease that a member's entry names, if it is not the current one.
std::optional<std::uint64_t> earlier_lease(gateway const& self, store::item const& entry)
{
    auto const known = rollout::decode_member(self.settings.host, entry.value);
    return known && known->lease != self.lease.id ? std::optional(known->lease) : std::nullopt;
}

void write_member(gateway& self);

void replace_earlier_incarnation(gateway& self)
{
    self.store.read(rollout::member_key(self.settings.host), base::mono_now() + call_timeout,
                    [&self](base::result<std::optional<store::item>> const& read)
                    {
                        if (read && *read)
                        {
                            if (auto const lease = earlier_lease(self, **read))
                            {
                                end_earlier_lease(self, *lease);
                            }
                        }
                        write_member(self);
                    });
}

void write_member(gateway& self)
{
    store::transaction entry;
    entry.writes.push_back({rollout::member_key(self.settings.host),
                            rollout::encode(own_member(self)), self.lease.id});
    self.store.commit_transaction(entry, base::mono_now() + call_timeout,
                                  [](base::result<store::commit> const& outcome)
                                  {
                                      if (!outcome)
                                      {
                                          base::log_line(base::log_level::warning,
                                                         "member_not_written",
                                                         {{"code", outcome.error().code},
                                                          {"reason", outcome.error().message}});
                                      }
                                  });
}

void on_granted(gateway& self, base::result<std::uint64_t> const& lease, base::mono_time sent_at)
{
    self.lease.busy = false;
    if (!lease)
    {
        self.lease.renew_at = base::mono_now() + grant_again;
        return;
    }
    self.lease.id = *lease;
    self.lease.valid_until = deadline_of_lease(sent_at);
    self.lease.renew_at = sent_at + renew_interval;
    count_change(self, "lease_granted");
    base::log_line(base::log_level::info, "lease_granted",
                   {{"lease", static_cast<std::int64_t>(*lease)}});
    replace_earlier_incarnation(self);
    reclaim_jobs(self);
}

void lose_lease(gateway& self)
{
    count_change(self, "lease_lost");
    base::log_line(base::log_level::warning, "lease_lost",
                   {{"lease", static_cast<std::int64_t>(self.lease.id)}});
    self.lease.id = 0;
    duty::note_leadership_lost(self.candidate, self.settings.leader_turn, base::mono_now());
    for (auto& [id, job] : self.jobs)
    {
        job.owner_revision = 0;
    }
}

void on_renewed(gateway& self, base::result<void> const& outcome, base::mono_time sent_at)
{
    self.lease.busy = false;
    if (outcome)
    {
        self.lease.valid_until = deadline_of_lease(sent_at);
        self.lease.renew_at = sent_at + renew_interval;
    }
    else if (outcome.error().code == base::result_code::lease_lost)
    {
        lose_lease(self);
    }
    else
    {
        self.lease.renew_at = base::mono_now() + renew_again;
    }
}

void keep(gateway& self)
{
    auto const now = base::mono_now();
    if (self.lease.busy || self.stopping || now < self.lease.renew_at)
    {
        return;
    }
    self.lease.busy = true;
    auto const deadline = now + call_timeout;
    if (self.lease.id == 0)
    {
        self.store.grant(lease_length, deadline,
                         [&self, now](auto const& lease) { on_granted(self, lease, now); });
    }
    else
    {
        self.store.renew(self.lease.id, deadline,
                         [&self, now](auto const& outcome) { on_renewed(self, outcome, now); });
    }
}

} // namespace

void start_lease(gateway& self)
{
    self.lease_timer = base::every(tick, [&self] { keep(self); });
    keep(self);
}

void end_lease(gateway& self)
{
    if (self.lease.id == 0)
    {
        return;
    }
    self.store.revoke(self.lease.id, base::mono_now() + call_timeout,
                      [](auto const&)
                      { base::log_line(base::log_level::info, "lease_ended", {}); });
    self.lease.id = 0;
}

} // namespace gooseberrywood::gateway
