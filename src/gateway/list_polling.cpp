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
constexpr base::duration call_timeout = std::chrono::milliseconds(1500);
// Pause between reads of the store by a gateway whose readers have no fresh list.
constexpr base::duration ask_store_pause = std::chrono::milliseconds(2500);

using items = std::vector<store::item>;

void poll(gateway& self, poller& with, poll_plan const& plan);

void poll_again(gateway& self, poller& with, poll_plan const& plan, base::duration pause)
{
    with.timer =
        base::at(base::mono_now() + pause, [&self, &with, plan] { poll(self, with, plan); });
}

void note_reach(poller& with, std::string_view prefix, bool failing, std::string_view reason)
{
    if (failing != with.failing)
    {
        base::log_line(failing ? base::log_level::warning : base::log_level::info,
                       failing ? "store_read_fails" : "store_read_works",
                       {{"prefix", prefix}, {"reason", reason}});
    }
    with.failing = failing;
}

void take_list(poller& with, poll_plan const& plan, items const& read)
{
    plan.take(read, with.copy.last_read.begin);
    with.confirmed_at = std::max(with.confirmed_at, with.copy.last_read.begin);
}

void take_answer(gateway& self, poller& with, poll_plan const& plan, base::mono_time asked_at,
                 wire::list_answer const& answer)
{
    store::read_window const when{asked_at - answer.begin_age, base::mono_now() - answer.end_age};
    if (!store::apply_changes(with.copy, answer.changes, when))
    {
        // The other gateway's read is older than the own one; its next one will not be.
        with.copy.followed_source = 0;
        poll_again(self, with, plan, retry_interval);
        return;
    }
    note_reach(with, plan.prefix, false, "");
    take_list(with, plan, store::all_items(with.copy));
    poll_again(self, with, plan, plan.interval());
}

void on_answer(gateway& self, poller& with, poll_plan const& plan, base::mono_time asked_at,
               std::optional<wire::list_answer> const& answer)
{
    auto const now = base::mono_now();
    if (answer && answer->available)
    {
        take_answer(self, with, plan, asked_at, *answer);
    }
    else if (!answer || now >= with.ask_store_at)
    {
        // All gateways must not press on a store that none of them reaches.
        with.ask_store_at = now + ask_store_pause;
        read_list_now(self, with, plan);
    }
    else
    {
        poll_again(self, with, plan, retry_interval);
    }
}

void poll(gateway& self, poller& with, poll_plan const& plan)
{
    auto const now = base::mono_now();
    auto const reader = plan.reads_itself() ? std::nullopt : choose_reader(self, now);
    if (!reader)
    {
        read_list_now(self, with, plan);
        return;
    }
    request_list(self, *reader,
                 {0, std::string(plan.prefix), with.copy.followed_source,
                  with.copy.followed_version, plan.longest_age},
                 [&self, &with, plan, now](std::optional<wire::list_answer> const& answer)
                 { on_answer(self, with, plan, now, answer); });
}

} // namespace

void read_list_now(gateway& self, poller& with, poll_plan const& plan)
{
    auto const sent_at = base::mono_now();
    store::list_all(
        self.store, std::string(plan.prefix), "", sent_at + call_timeout,
        [&self, &with, plan, sent_at](base::result<items> const& read)
        {
            note_reach(with, plan.prefix, !read, read ? "" : read.error().message);
            if (read && store::apply_read(with.copy, *read, {sent_at, base::mono_now()}))
            {
                take_list(with, plan, *read);
            }
            poll_again(self, with, plan, read ? plan.interval() : retry_interval);
        });
}

void start_polling(gateway& self, poller& with, poll_plan const& plan)
{
    with.copy.id = std::max<std::uint64_t>(1, base::random_request_id().low);
    poll(self, with, plan);
}

} // namespace gooseberrywood::gateway
