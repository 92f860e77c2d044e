#include "gateway/shared_entries.hpp"

#include "base/log.hpp"
#include "duty/model_shares.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/job_ownership.hpp"
#include "gateway/leadership.hpp"
#include "rollout/store_keys.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

// Minimum number of processes that share a cold upstream's budget. Processes that have just started
// are not known yet.
constexpr std::size_t min_sharing_processes = 3;

void read_shares(shared_view& view, store::item const& item)
{
    auto shares = duty::decode_shares(item.value);
    if (!shares)
    {
        base::log_line(base::log_level::error, "unreadable_shares", {{"key", item.key}});
        return;
    }
    view.shares = std::move(*shares);
}

void add_entry(shared_view& view, store::item const& item)
{
    auto const suffix = [&](std::string_view prefix)
    {
        return item.key.substr(prefix.size());
    };
    if (item.key.starts_with(rollout::member_prefix))
    {
        auto const host = suffix(rollout::member_prefix);
        if (auto member = rollout::decode_member(host, item.value))
        {
            view.members.emplace(host, std::move(*member));
        }
    }
    else if (item.key.starts_with(rollout::owner_prefix))
    {
        view.owners[suffix(rollout::owner_prefix)] = item;
    }
    else if (item.key == rollout::leader_key)
    {
        view.leader = item;
    }
    else if (item.key == rollout::shares_key)
    {
        read_shares(view, item);
    }
    else if (item.key.starts_with(rollout::record_prefix))
    {
        auto const id = suffix(rollout::record_prefix);
        if (auto record = rollout::decode_job_record(id, item.value))
        {
            view.records[id] = {std::move(*record), item.revision};
        }
    }
}

/// Keeps jobs marked as ended, since the read may have been sent before they were ended.
void preserve_ended(shared_view& view, shared_view const& previous)
{
    for (auto& [id, stored] : view.records)
    {
        auto const known = previous.records.find(id);
        stored.record.ended =
            stored.record.ended || (known != previous.records.end() && known->second.record.ended);
    }
}

} // namespace

void apply_shared_entries(gateway& self, std::span<store::item const> items,
                          base::mono_time sent_at)
{
    shared_view view;
    view.read_at = sent_at;
    view.assign_orphan_at = std::move(self.shared.assign_orphan_at);
    for (auto const& item : items)
    {
        add_entry(view, item);
    }
    preserve_ended(view, self.shared);
    self.shared = std::move(view);
    rollout::note_members(self.permits.views, self.shared.members, base::mono_now());
    self.pool.shares = self.shared.shares;
    self.pool.sharing_processes =
        static_cast<std::uint32_t>(std::max(min_sharing_processes, self.shared.members.size()));
    apply_stored_crashes(self, items, sent_at);
    reconcile_jobs(self);
    check_leadership(self);
}

} // namespace gooseberrywood::gateway
