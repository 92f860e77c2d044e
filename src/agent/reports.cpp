#include "agent/reports.hpp"

#include "agent/replies.hpp"

namespace gooseberrywood::agent
{

namespace
{

// Entries correct reports by their own attempts, so reports may lag; more of them would spend the
// 5 KB/s that control may cost a daemon.
constexpr base::duration report_interval = std::chrono::milliseconds(500);

wire::credit make_credit(upstream const& where, std::uint64_t entry,
                         admission::load_report const& load)
{
    auto const at = where.point.shares.entries.find(entry);
    auto const share = at != where.point.shares.entries.end() ? at->second.share : 1;
    return {where.settings.name,  share,         load.limit, load.running, load.queued,
            load.latency.count(), load.accepting};
}

bool needs_report(upstream const& where, admission::load_report const& load, base::mono_time now)
{
    // That an upstream stops or starts to accept work matters at once.
    return load.accepting != where.reported.accepting || now >= where.report_again_at;
}

bool is_equal(admission::load_report const& a, admission::load_report const& b)
{
    return a.limit == b.limit && a.running == b.running && a.queued == b.queued &&
           a.accepting == b.accepting;
}

} // namespace

void report_load(agent_process& agent, upstream& where)
{
    auto const now = base::mono_now();
    auto const load = admission::load(where.point, now);
    if (!needs_report(where, load, now) || is_equal(load, where.reported))
    {
        return;
    }
    where.reported = load;
    where.report_again_at = now + report_interval;
    std::vector<std::uint64_t> entries;
    for (auto const& [number, peer] : agent.peers)
    {
        entries.push_back(number);
    }
    for (auto const entry : entries)
    {
        send_to(agent, entry, make_credit(where, entry, load));
    }
}

void rebalance_credit(agent_process& agent, upstream& where)
{
    auto const now = base::mono_now();
    auto const changes = admission::rebalance(where.point, now);
    auto const load = admission::load(where.point, now);
    for (auto const& change : changes)
    {
        send_to(agent, change.entry, make_credit(where, change.entry, load));
    }
}

void greet(agent_process& agent, std::uint64_t entry)
{
    auto const now = base::mono_now();
    for (auto const& [name, where] : agent.upstreams)
    {
        send_to(agent, entry, make_credit(*where, entry, admission::load(where->point, now)));
        for (auto const& [fingerprint, mark] : where->point.marks.by_fingerprint)
        {
            if (mark.expires_at > now)
            {
                send_to(agent, entry,
                        wire::suspect{fingerprint, mark.crash_ids, wire::to_wall(mark.expires_at)});
            }
        }
    }
}

} // namespace gooseberrywood::agent
