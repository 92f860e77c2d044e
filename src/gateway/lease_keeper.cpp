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

// The jobs of a failed owner stall for this long. A store outage up to this length costs no lease.
constexpr base::duration lease_length = std::chrono::milliseconds(2000);
constexpr base::duration renew_interval = std::chrono::milliseconds(500);
constexpr base::duration call_timeout = std::chrono::milliseconds(800);
constexpr base::duration check_interval = std::chrono::milliseconds(150);
// Delays after a failed call. Renewing a lease that still holds is more urgent than getting a new
// one.
constexpr base::duration renew_retry_delay = std::chrono::milliseconds(300);
constexpr base::duration grant_retry_delay = std::chrono::milliseconds(600);

base::mono_time lease_valid_until(base::mono_time sent_at)
{
    return sent_at + lease_length - lease::drift_margin(lease_length);
}

/// Revokes the lease of an earlier incarnation on this host, so that its jobs can be taken over at
/// once.
void revoke_earlier_lease(gateway& self, std::uint64_t lease)
{
    base::log_line(base::log_level::info, "earlier_lease_ended",
                   {{"lease", static_cast<std::int64_t>(lease)}});
    self.store.revoke(lease, base::mono_now() + call_timeout,
                      [&self](auto const&) { refresh_shared_now(self); });
}

/// \returns the lease that a member entry names, unless it is the current one.
std::optional<std::uint64_t> earlier_lease(gateway const& self, store::item const& entry)
{
    auto const stored = rollout::decode_member(self.settings.host, entry.value);
    return stored && stored->lease != self.lease.id ? std::optional(stored->lease) : std::nullopt;
}

void write_member(gateway& self);

/// Writes the member entry, after revoking the lease of an earlier incarnation if there is one.
void register_member(gateway& self)
{
    self.store.read(rollout::member_key(self.settings.host), base::mono_now() + call_timeout,
                    [&self](base::result<std::optional<store::item>> const& read)
                    {
                        if (read && *read)
                        {
                            if (auto const lease = earlier_lease(self, **read))
                            {
                                revoke_earlier_lease(self, *lease);
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
    self.lease.call_pending = false;
    if (!lease)
    {
        self.lease.renew_at = base::mono_now() + grant_retry_delay;
        return;
    }
    self.lease.id = *lease;
    self.lease.valid_until = lease_valid_until(sent_at);
    self.lease.renew_at = sent_at + renew_interval;
    count_change(self, "lease_granted");
    base::log_line(base::log_level::info, "lease_granted",
                   {{"lease", static_cast<std::int64_t>(*lease)}});
    register_member(self);
    reclaim_jobs(self);
}

void on_lease_lost(gateway& self)
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
    self.lease.call_pending = false;
    if (outcome)
    {
        self.lease.valid_until = lease_valid_until(sent_at);
        self.lease.renew_at = sent_at + renew_interval;
    }
    else if (outcome.error().code == base::result_code::lease_lost)
    {
        on_lease_lost(self);
    }
    else
    {
        self.lease.renew_at = base::mono_now() + renew_retry_delay;
    }
}

void maintain_lease(gateway& self)
{
    auto const now = base::mono_now();
    if (self.lease.call_pending || self.stopping || now < self.lease.renew_at)
    {
        return;
    }
    self.lease.call_pending = true;
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
    self.lease_timer = base::every(check_interval, [&self] { maintain_lease(self); });
    maintain_lease(self);
}

void revoke_lease(gateway& self)
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
