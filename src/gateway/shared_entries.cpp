#include "gateway/shared_entries.hpp"

#include "base/log.hpp"
#include "duty/model_shares.hpp"
#include "gateway/job_ownership.hpp"
#include "gateway/leadership.hpp"
#include "rollout/store_keys.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

// Smallest number of processes that a cold upstream's budget is divided by: those that have just
// started are not known yet.
constexpr std::size_t least_sharing = 3;

void take_shares(shared_view& into, store::item const& item)
{
    auto shares = duty::decode_shares(item.value);
    if (!shares)
    {
        base::log_line(base::log_level::error, "unreadable_shares", {{"key", item.key}});
        return;
    }
    into.shares = std::move(*shares);
}

void sort_shared(shared_view& into, store::item const& item)
{
    auto const rest = [&](std::string_view prefix)
    {
        return item.key.substr(prefix.size());
    };
    if (item.key.starts_with(rollout::member_prefix))
    {
        auto const host = rest(rollout::member_prefix);
        if (auto one = rollout::decode_member(host, item.value))
        {
            into.members.emplace(host, std::move(*one));
        }
    }
    else if (item.key.starts_with(rollout::owner_prefix))
    {
        into.owners[rest(rollout::owner_prefix)] = item;
    }
    else if (item.key == rollout::leader_key)
    {
        into.leader = item;
    }
    else if (item.key == rollout::shares_key)
    {
        take_shares(into, item);
    }
    else if (item.key.starts_with(rollout::record_prefix))
    {
        auto const id = rest(rollout::record_prefix);
        if (auto record = rollout::decode_job_record(id, item.value))
        {
            into.records[id] = {std::move(*record), item.revision};
        }
    }
}

/// A read that was sent before a job was ended must not bring it back.
void keep_ended(shared_view& into, shared_view const& before)
{
    for (auto& [id, stored] : into.records)
    {
        auto const known = before.records.find(id);
        stored.record.ended =
            stored.record.ended || (known != before.records.end() && known->second.record.ended);
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
        sort_shared(view, item);
    }
    keep_ended(view, self.shared);
    self.shared = std::move(view);
    self.pool.shares = self.shared.shares;
    self.pool.sharing_processes =
        static_cast<std::uint32_t>(std::max(least_sharing, self.shared.members.size()));
    reconcile_jobs(self);
    review_leader(self);
}

} // namespace gooseberrywood::gateway
