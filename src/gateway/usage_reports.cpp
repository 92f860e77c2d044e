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

// Time after the end of a window by which the requests that began in it have ended and are counted.
constexpr base::duration settle_time = std::chrono::milliseconds(1500);
// Time after the end of a window by which every process that reaches the store has stored its
// counts.
constexpr base::duration collect_time = std::chrono::milliseconds(4000);

// A new leader takes windows up to this many before the current one as reported already.
constexpr std::int64_t lookback_windows = 2;

base::wall_time after(base::wall_time time, base::duration delay)
{
    return time + base::wall_clock::duration(delay.count());
}

bool has_passed_end(gateway const& self, std::int64_t window, base::duration delay)
{
    return base::wall_now() >= after(duty::end_of(self.usage.length, window), delay);
}

void write_window_counts(gateway& self, std::int64_t window)
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

/// Entries of a window in the store.
struct window_entries
{
    /// The stored report, or else the sum of the counts.
    duty::usage_report report;
    bool is_report_stored = false;
    /// Keys of the counts that the report sums up.
    std::vector<std::string> keys;
};

window_entries sum_counts(std::int64_t window, std::vector<store::item> const& entries)
{
    window_entries entries_read;
    entries_read.report.window = window;
    for (auto const& entry : entries)
    {
        auto const counts = duty::decode_counts(entry.value);
        if (entry.key == duty::report_key(window))
        {
            entries_read.is_report_stored = counts.has_value();
            entries_read.report.counts = counts.value_or(entries_read.report.counts);
            break;
        }
        if (!counts)
        {
            base::log_line(base::log_level::error, "unreadable_counts", {{"key", entry.key}});
            continue;
        }
        entries_read.keys.push_back(entry.key);
        for (auto const& [team, count] : *counts)
        {
            entries_read.report.counts[team] += count;
        }
    }
    return entries_read;
}

/// Removes counts that are part of a report. A failure leaves entries that are not read any more.
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

/// Stores the report before it is sent, so that no other leader sends a different one.
void store_report(gateway& self, window_entries entries_read, duty::authority const& authority)
{
    auto const write = duty::report_write(entries_read.report);
    self.store.commit_all(
        write, base::mono_now() + store_call_timeout,
        [&self, entries_read = std::move(entries_read),
         authority](base::result<store::commit> const& outcome)
        {
            if (!outcome)
            {
                base::log_line(base::log_level::warning, "report_not_fixed",
                               {{"window", entries_read.report.window},
                                {"code", outcome.error().code},
                                {"reason", outcome.error().message}});
            }
            if (outcome && outcome->done)
            {
                // Removes the counts of the previous report; another leader may still be reading
                // those of this one.
                remove_counts(self, std::exchange(self.reporting.obsolete_keys, entries_read.keys));
            }
            // If the outcome is unclear, the entries are read again on the next call.
            bool const may_send =
                outcome && outcome->done &&
                duty::acting_as(self.candidate, self.lease.valid_until, base::mono_now());
            if (!may_send)
            {
                self.reporting.busy = false;
                return;
            }
            send_report(self, entries_read.report, authority);
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
    auto entries_read = sum_counts(window, *read);
    if (entries_read.is_report_stored)
    {
        send_report(self, entries_read.report, authority);
        return;
    }
    store_report(self, std::move(entries_read), authority);
}

} // namespace

void store_usage_counts(gateway& self)
{
    if (self.reporting.leaving_counts || self.usage.counts.empty())
    {
        return;
    }
    auto const window = self.usage.counts.begin()->first;
    if (has_passed_end(self, window, settle_time))
    {
        write_window_counts(self, window);
    }
}

void report_usage(gateway& self, duty::authority const& authority)
{
    if (self.reporting.busy || self.settings.duties.empty())
    {
        return;
    }
    auto const current = duty::window_at(self.usage.length, base::wall_now());
    auto const last_reported = current - lookback_windows;
    if (self.reporting.reported == 0)
    {
        self.reporting.reported = last_reported;
    }
    auto const window = self.reporting.reported + 1;
    if (!has_passed_end(self, window, collect_time))
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
