#include "gateway/usage_reports.hpp"

#include "base/log.hpp"
#include "duty/report_write.hpp"
#include "gateway/control_call.hpp"
#include "platform/control_calls.hpp"
#include "store/list_all.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

constexpr base::duration call_timeout = std::chrono::milliseconds(1500);

// Requests that began in a window have ended by then, so that they are counted.
constexpr base::duration settle_time = std::chrono::milliseconds(1500);
// By then every process that reaches the store has left its counts.
constexpr base::duration collect_time = std::chrono::milliseconds(4000);

// Windows before the start of a leader that it still looks at.
constexpr std::int64_t earlier_windows = 2;

base::wall_time after(base::wall_time at, base::duration by)
{
    return at + base::wall_clock::duration(by.count());
}

bool is_over(gateway const& self, std::int64_t window, base::duration since)
{
    return base::wall_now() >= after(duty::end_of(self.usage.length, window), since);
}

void write_counts(gateway& self, std::int64_t window)
{
    self.reporting.leaving_counts = true;
    store::transaction write;
    write.writes.push_back({duty::usage_key(window, self.settings.host),
                            duty::encode_counts(self.usage.counts[window]), 0});
    self.store.commit_all(write, base::mono_now() + store_call_timeout,
                          [&self, window](base::result<store::commit> const& outcome)
                          {
                              self.reporting.leaving_counts = false;
                              if (outcome)
                              {
                                  self.usage.counts.erase(window);
                              }
                          });
}

void send_report(gateway& self, duty::usage_report const& report, duty::authority const& authority)
{
    start_control_call(
        self, platform::encode_usage(self.settings.duties, report, authority),
        base::mono_now() + call_timeout,
        [&self, report, authority](http::fetch_outcome const& answer)
        {
            self.reporting.busy = false;
            auto const outcome = platform::decode_report_outcome(answer);
            base::log_line(base::log_level::info, "usage_reported",
                           {{"window", report.window},
                            {"teams", static_cast<std::int64_t>(report.counts.size())},
                            {"fencing", static_cast<std::int64_t>(authority.fencing)},
                            {"outcome", outcome == duty::report_outcome::accepted ? "accepted"
                                        : outcome == duty::report_outcome::fenced ? "fenced"
                                                                                  : "unknown"}});
            if (outcome == duty::report_outcome::accepted)
            {
                self.reporting.reported = std::max(self.reporting.reported, report.window);
            }
            else if (outcome == duty::report_outcome::fenced)
            {
                duty::note_lost(self.candidate, self.settings.leader_turn, base::mono_now());
            }
        });
}

/// What the store holds about a window.
struct window_entries
{
    duty::usage_report report;
    bool is_fixed = false;
    std::vector<std::string> keys;
};

window_entries sum_up(std::int64_t window, std::vector<store::item> const& entries)
{
    window_entries found;
    found.report.window = window;
    for (auto const& entry : entries)
    {
        auto const counts = duty::decode_counts(entry.value);
        if (entry.key == duty::report_key(window))
        {
            found.is_fixed = counts.has_value();
            found.report.counts = counts.value_or(found.report.counts);
            break;
        }
        if (!counts)
        {
            base::log_line(base::log_level::error, "unreadable_counts", {{"key", entry.key}});
            continue;
        }
        found.keys.push_back(entry.key);
        for (auto const& [team, count] : *counts)
        {
            found.report.counts[team] += count;
        }
    }
    return found;
}

/// Removes counts that are part of a report. What fails leaves entries that nobody reads any more.
void remove_counts(gateway& self, std::vector<std::string> keys)
{
    if (keys.empty())
    {
        return;
    }
    auto const removal = duty::take_removals(keys);
    self.store.commit_all(
        removal, base::mono_now() + store_call_timeout,
        [&self, keys = std::move(keys)](base::result<store::commit> const& outcome)
        {
            if (!outcome)
            {
                base::log_line(
                    base::log_level::warning, "counts_not_removed",
                    {{"code", outcome.error().code}, {"reason", outcome.error().message}});
                return;
            }
            remove_counts(self, keys);
        });
}

/// Fixes the report in the store before it is sent, so that no other leader sends another one.
void fix_report(gateway& self, window_entries found, duty::authority const& authority)
{
    auto const write = duty::report_write(found.report);
    self.store.commit_all(
        write, base::mono_now() + store_call_timeout,
        [&self, found = std::move(found), authority](base::result<store::commit> const& outcome)
        {
            if (!outcome)
            {
                base::log_line(base::log_level::warning, "report_not_fixed",
                               {{"window", found.report.window},
                                {"code", outcome.error().code},
                                {"reason", outcome.error().message}});
            }
            if (outcome && outcome->done)
            {
                // One window later: another leader may be reading the counts of this one.
                remove_counts(self, std::exchange(self.reporting.obsolete_keys, found.keys));
            }
            // Whatever is unclear is read again at the next turn.
            bool const may_send =
                outcome && outcome->done &&
                duty::acting_as(self.candidate, self.lease.valid_until, base::mono_now());
            if (!may_send)
            {
                self.reporting.busy = false;
                return;
            }
            send_report(self, found.report, authority);
        });
}

void on_entries(gateway& self, std::int64_t window, duty::authority const& authority,
                base::result<std::vector<store::item>> const& read)
{
    if (!read || !duty::acting_as(self.candidate, self.lease.valid_until, base::mono_now()))
    {
        self.reporting.busy = false;
        return;
    }
    auto found = sum_up(window, *read);
    if (found.is_fixed)
    {
        send_report(self, found.report, authority);
        return;
    }
    fix_report(self, std::move(found), authority);
}

} // namespace

void store_usage_counts(gateway& self)
{
    if (self.reporting.leaving_counts || self.usage.counts.empty())
    {
        return;
    }
    auto const window = self.usage.counts.begin()->first;
    if (is_over(self, window, settle_time))
    {
        write_counts(self, window);
    }
}

void report_usage(gateway& self, duty::authority const& authority)
{
    if (self.reporting.busy || self.settings.duties.empty())
    {
        return;
    }
    auto const current = duty::window_at(self.usage.length, base::wall_now());
    auto const started_in = current - earlier_windows;
    if (self.reporting.reported == 0)
    {
        self.reporting.reported = started_in;
    }
    auto const window = self.reporting.reported + 1;
    if (!is_over(self, window, collect_time))
    {
        return;
    }
    self.reporting.busy = true;
    store::list_all(self.store, duty::usage_prefix(window), "",
                    base::mono_now() + store_call_timeout,
                    [&self, window, authority](base::result<std::vector<store::item>> const& read)
                    { on_entries(self, window, authority, read); });
}

} // namespace gooseberrywood::gateway
