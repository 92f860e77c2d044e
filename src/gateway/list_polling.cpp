#include "gateway/list_polling.hpp"

#include "base/log.hpp"
#include "base/request_id.hpp"
#include "gateway/list_exchange.hpp"
#include "store/list_all.hpp"
#include "store/list_copy.hpp"

#include <algorithm>
#include <optional>
#include <string>

namespace gooseberrywood::gateway
{

namespace
{

constexpr base::duration retry_interval = std::chrono::milliseconds(200);
constexpr base::duration list_timeout = std::chrono::milliseconds(1500);
// Pause between a gateway's own reads of the store while its readers have no recent list.
constexpr base::duration store_read_pause = std::chrono::milliseconds(2500);

using items = std::vector<store::item>;

void poll(gateway& self, poller& state, poll_plan const& plan);

void schedule_poll(gateway& self, poller& state, poll_plan const& plan, base::duration delay)
{
    state.timer =
        base::at(base::mono_now() + delay, [&self, &state, plan] { poll(self, state, plan); });
}

void log_reachability(poller& state, std::string_view prefix, bool failing, std::string_view reason)
{
    if (failing != state.failing)
    {
        base::log_line(failing ? base::log_level::warning : base::log_level::info,
                       failing ? "store_read_fails" : "store_read_works",
                       {{"prefix", prefix}, {"reason", reason}});
    }
    state.failing = failing;
}

void cut_values(items& read, std::size_t max_bytes)
{
    for (auto& item : read)
    {
        item.value.resize(std::min(item.value.size(), max_bytes));
    }
}

void apply_list(poller& state, poll_plan const& plan, items const& read)
{
    plan.on_list(read, state.copy.last_read.begin);
    state.confirmed_at = std::max(state.confirmed_at, state.copy.last_read.begin);
}

void apply_answer(gateway& self, poller& state, poll_plan const& plan, base::mono_time sent_at,
                  wire::list_answer const& answer)
{
    store::read_window const window{sent_at - answer.begin_age, base::mono_now() - answer.end_age};
    if (!store::apply_changes(state.copy, answer.changes, window))
    {
        // The other gateway's read is older than the local copy; its next read will be newer.
        // The whole list is requested then.
        state.copy.followed_source = 0;
        schedule_poll(self, state, plan, retry_interval);
        return;
    }
    log_reachability(state, plan.prefix, false, "");
    apply_list(state, plan, store::all_items(state.copy));
    schedule_poll(self, state, plan, plan.interval());
}

void on_answer(gateway& self, poller& state, poll_plan const& plan, base::mono_time sent_at,
               std::optional<wire::list_answer> const& answer)
{
    auto const now = base::mono_now();
    if (answer && answer->available)
    {
        apply_answer(self, state, plan, sent_at, *answer);
    }
    else if (!answer || now >= state.next_store_read_at)
    {
        // Limits the load on a store that none of the gateways can reach.
        state.next_store_read_at = now + store_read_pause;
        read_list_now(self, state, plan);
    }
    else
    {
        schedule_poll(self, state, plan, retry_interval);
    }
}

void poll(gateway& self, poller& state, poll_plan const& plan)
{
    auto const now = base::mono_now();
    auto const reader = plan.reads_store() ? std::nullopt : choose_reader(self, now);
    if (!reader)
    {
        read_list_now(self, state, plan);
        return;
    }
    request_list(self, *reader,
                 {0, std::string(plan.prefix), state.copy.followed_source,
                  state.copy.followed_version, plan.max_age},
                 [&self, &state, plan, now](std::optional<wire::list_answer> const& answer)
                 { on_answer(self, state, plan, now, answer); });
}

} // namespace

void read_list_now(gateway& self, poller& state, poll_plan const& plan)
{
    auto const sent_at = base::mono_now();
    store::list_all(
        self.store, std::string(plan.prefix), "", sent_at + list_timeout,
        [&self, &state, plan, sent_at](base::result<items> read)
        {
            log_reachability(state, plan.prefix, !read, read ? "" : read.error().message);
            if (read)
            {
                cut_values(*read, plan.max_value_bytes);
            }
            if (read && store::apply_read(state.copy, *read, {sent_at, base::mono_now()}))
            {
                apply_list(state, plan, *read);
            }
            schedule_poll(self, state, plan, read ? plan.interval() : retry_interval);
        });
}

void start_polling(gateway& self, poller& state, poll_plan const& plan)
{
    state.copy.id = std::max<std::uint64_t>(1, base::random_request_id().low);
    poll(self, state, plan);
}

} // namespace gooseberrywood::gateway
