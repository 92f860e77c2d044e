#include "gateway/crash_watch.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "fleet/pool.hpp"
#include "gateway/gateway.hpp"
#include "gateway/measure.hpp"
#include "rollout/crash_mark_entry.hpp"
#include "rollout/store_keys.hpp"

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

// Long enough for callers that come again for minutes.
constexpr entry_lifetime stored_lifetime{std::chrono::minutes(5), std::chrono::minutes(10)};

// The others must know of a crash within seconds. What the store has not confirmed by then is sent
// to them directly as well.
constexpr base::duration store_timeout = std::chrono::milliseconds(400);
constexpr base::duration retry_interval = std::chrono::milliseconds(600);

/// Number that equal requests of one team share, whatever their ids and headers.
std::uint64_t fingerprint_of(routed_spec& spec)
{
    if (spec.fingerprint)
    {
        return *spec.fingerprint;
    }
    std::uint64_t fingerprint = 0;
    for (std::string_view const part :
         {std::string_view(spec.team), std::string_view(spec.host),
          std::string_view(spec.call.method), std::string_view(spec.call.path),
          http::view_of(spec.call.body)})
    {
        fingerprint = base::hash64(part, fingerprint);
    }
    spec.fingerprint = fingerprint;
    return fingerprint;
}

std::string to_text(std::uint64_t number)
{
    return fmt::format("{:016x}", number);
}

std::int64_t known_crashes(gateway const& self, std::uint64_t fingerprint, base::mono_time now)
{
    return static_cast<std::int64_t>(fleet::count_crashes(self.crashes.marks, fingerprint, now));
}

void log_broken_try(gateway const& self, routed_spec const& spec, std::uint64_t fingerprint,
                    routed_try const& broken, base::mono_time now)
{
    base::log_line(base::log_level::info, "upstream_broke_off",
                   {{"request", spec.request_id},
                    {"fingerprint", to_text(fingerprint)},
                    {"upstream", broken.upstream},
                    {"started_ms", broken.incarnation.started_ms},
                    {"crashes", known_crashes(self, fingerprint, now)}});
}

void share_marks(gateway& self);

void schedule_sharing(gateway& self)
{
    if (auto const next = fleet::next_share_at(self.crashes.marks))
    {
        self.crashes.share_timer = base::at(*next, [&self] { share_marks(self); });
    }
}

/// A message whose time has long passed withdraws the mark.
wire::suspect make_message(fleet::crash_notice const& notice)
{
    auto const now = base::wall_now();
    bool const is_withdrawn = notice.state == fleet::crash_mark_state::withdrawn;
    return {notice.id.fingerprint,
            {notice.id.crash},
            is_withdrawn ? now - fleet::crash_mark_lifetime : now + fleet::crash_mark_lifetime};
}

void send_to_members(gateway& self, fleet::crash_notice const& notice)
{
    auto const message = make_message(notice);
    for (auto const& [host, member] : self.shared.members)
    {
        if (host != self.settings.host && !member.peer_address.empty())
        {
            send_to_peer(self.peers, member.peer_address, message);
        }
    }
}

void on_shared(gateway& self, std::vector<fleet::crash_notice> const& notices,
               base::result<store::commit> const& outcome)
{
    auto const now = base::mono_now();
    if (outcome)
    {
        for (auto const& notice : notices)
        {
            fleet::note_stored(self.crashes.marks, notice, now);
        }
        schedule_sharing(self);
        return;
    }
    base::log_line(base::log_level::warning, "crash_marks_not_stored",
                   {{"count", static_cast<std::int64_t>(notices.size())},
                    {"code", outcome.error().code},
                    {"reason", outcome.error().message}});
    if (outcome.error().code == base::result_code::lease_lost)
    {
        self.crashes.lease = {};
    }
    for (auto const& notice : notices)
    {
        if (fleet::is_sent_directly(self.crashes.marks, notice.id))
        {
            send_to_members(self, notice);
        }
    }
}

void store_notices(gateway& self, std::vector<fleet::crash_notice> const& notices,
                   std::uint64_t lease, base::mono_time deadline)
{
    if (lease == 0)
    {
        on_shared(self, notices,
                  base::fail(base::result_code::store_unavailable, "the store granted no lease"));
        return;
    }
    store::transaction entries;
    for (auto const& notice : notices)
    {
        entries.writes.push_back(rollout::encode_crash_notice(notice, lease));
    }
    self.store.commit_transaction(entries, deadline,
                                  [&self, notices](base::result<store::commit> const& outcome)
                                  { on_shared(self, notices, outcome); });
}

void share_marks(gateway& self)
{
    auto const now = base::mono_now();
    auto notices = fleet::take_marks_to_share(self.crashes.marks, store::max_transaction_entries,
                                              now + retry_interval, now);
    schedule_sharing(self);
    if (notices.empty())
    {
        return;
    }
    auto const deadline = now + store_timeout;
    with_entry_lease(self, self.crashes.lease, stored_lifetime, deadline,
                     [&self, notices = std::move(notices), deadline](std::uint64_t lease)
                     { store_notices(self, notices, lease, deadline); });
}

fleet::incarnation_state state_of(fleet::pool const& pool, std::string_view id,
                                  std::int64_t started_ms)
{
    auto const found = pool.upstreams.find(id);
    if (found == pool.upstreams.end() || found->second.record.started_ms != started_ms)
    {
        return fleet::incarnation_state::gone;
    }
    if (found->second.missing)
    {
        return fleet::incarnation_state::missing;
    }
    bool const is_leaving = found->second.record.draining || found->second.leaving;
    return is_leaving ? fleet::incarnation_state::leaving : fleet::incarnation_state::listed;
}

bool has_marks(gateway const& self)
{
    return !self.crashes.marks.by_id.empty();
}

} // namespace

std::optional<base::mono_time> refused_until(gateway const& self, routed_spec& spec,
                                             base::mono_time now)
{
    if (!spec.may_crash_upstreams || !has_marks(self))
    {
        return std::nullopt;
    }
    return fleet::refused_until(self.crashes.marks, fingerprint_of(spec), now);
}

base::error refuse_crashing_request(gateway& self, routed_spec& spec)
{
    auto const fingerprint = fingerprint_of(spec);
    count_crash_sighting(self, "refused");
    base::log_line(base::log_level::info, "crashing_request_refused",
                   {{"request", spec.request_id},
                    {"team", spec.team},
                    {"fingerprint", to_text(fingerprint)},
                    {"crashes", known_crashes(self, fingerprint, base::mono_now())}});
    return {base::result_code::crashing_request,
            "upstreams have ended under requests that are equal to this one"};
}

bool is_crash_suspect(gateway const& self, routed_spec& spec, base::mono_time now)
{
    return spec.may_crash_upstreams && has_marks(self) &&
           fleet::count_crashes(self.crashes.marks, fingerprint_of(spec), now) > 0;
}

void note_broken_try(gateway& self, routed_spec& spec, routed_try const& broken)
{
    if (!spec.may_crash_upstreams)
    {
        return;
    }
    auto const now = base::mono_now();
    auto const fingerprint = fingerprint_of(spec);
    fleet::note_broken_run(self.crashes.marks, fingerprint, broken.upstream,
                           broken.incarnation.started_ms, now);
    count_crash_sighting(self, "broken");
    log_broken_try(self, spec, fingerprint, broken, now);
    schedule_sharing(self);
}

void note_abandoned_try(gateway& self, routed_spec& spec, routed_try const& abandoned)
{
    if (spec.may_crash_upstreams)
    {
        fleet::note_unanswered_run(self.crashes.marks, fingerprint_of(spec), abandoned.upstream,
                                   abandoned.incarnation.started_ms, base::mono_now());
    }
}

void note_upstream_answered(gateway& self, routed_try const& answered)
{
    if (has_marks(self))
    {
        fleet::note_upstream_alive(self.crashes.marks, answered.upstream, answered.sent_at,
                                   base::mono_now());
    }
}

void note_served(gateway& self, routed_spec& spec)
{
    if (spec.may_crash_upstreams)
    {
        fleet::note_answered_request(self.crashes.marks, fingerprint_of(spec), base::mono_now());
        schedule_sharing(self);
    }
}

void review_crashes(gateway& self, base::mono_time read_at)
{
    if (!has_marks(self))
    {
        return;
    }
    fleet::review_crash_marks(
        self.crashes.marks,
        [&self](std::string_view upstream, std::int64_t started_ms)
        { return state_of(self.pool, upstream, started_ms); },
        read_at, base::mono_now());
    schedule_sharing(self);
}

void apply_stored_crashes(gateway& self, std::span<store::item const> items,
                          base::mono_time read_at)
{
    std::vector<fleet::crash_notice> notices;
    for (auto const& item : items)
    {
        if (!item.key.starts_with(rollout::crash_mark_prefix))
        {
            continue;
        }
        if (auto const notice = rollout::decode_crash_notice(item))
        {
            notices.push_back(*notice);
        }
        else
        {
            base::log_line(base::log_level::warning, "unreadable_store_entry", {{"key", item.key}});
        }
    }
    if (!notices.empty() || has_marks(self))
    {
        fleet::apply_stored_notices(self.crashes.marks, notices, read_at, base::mono_now());
        schedule_sharing(self);
    }
}

void apply_crash_notice(gateway& self, wire::connection& from, wire::suspect const& notice)
{
    auto const now = base::mono_now();
    bool const is_withdrawn = wire::to_local(from, notice.expires_at) <= now;
    for (auto const crash : notice.crash_ids)
    {
        fleet::apply_notice(
            self.crashes.marks,
            {{notice.fingerprint, crash},
             is_withdrawn ? fleet::crash_mark_state::withdrawn : fleet::crash_mark_state::standing},
            now);
    }
}

} // namespace gooseberrywood::gateway
