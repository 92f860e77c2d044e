#include "gateway/permits.hpp"

#include "base/log.hpp"
#include "gateway/gateway.hpp"
#include "gateway/measure.hpp"
#include "gateway/pending_messages.hpp"
#include "gateway/sample_runner.hpp"
#include "http/status.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

// Issuers answer from memory.
constexpr base::duration answer_timeout = std::chrono::milliseconds(200);
// Pause after an issuer was not reachable or not known.
constexpr base::duration no_issuer_pause = std::chrono::milliseconds(200);

struct permit_decision
{
    bool granted = false;
    base::mono_time next_at{};
};

/// The members are known as they were less than `issuer_settle_time` ago, so any change of them
/// that makes another process the issuer takes effect there later than it is known here.
fleet::issuer_certainty certainty_of(gateway const& self, base::mono_time now)
{
    return now < self.shared.read_at + rollout::issuer_settle_time
               ? fleet::issuer_certainty::only_one
               : fleet::issuer_certainty::perhaps_two;
}

permit_decision issue_permit(gateway& self, std::string const& upstream, double requests_per_s,
                             base::mono_time now)
{
    if (!rollout::is_settled_issuer(self.permits.views, upstream, self.settings.host, now))
    {
        return {false, now + no_issuer_pause};
    }
    auto const it =
        self.permits.buckets.try_emplace(upstream, fleet::make_permit_bucket(requests_per_s, now))
            .first;
    bool const granted =
        fleet::take_permit(it->second, requests_per_s, certainty_of(self, now), now);
    return {granted, granted ? now : fleet::next_permit_at(it->second, now)};
}

void apply_decision(gateway& self, std::string const& upstream, base::mono_time asked_at,
                    permit_decision const& decision)
{
    count_permit_request(self, decision.granted ? "granted" : "denied");
    auto* const found = fleet::find_upstream(self.pool, upstream);
    if (found == nullptr)
    {
        return;
    }
    found->limit.ask_at = decision.next_at;
    if (decision.granted)
    {
        found->limit.permits.push_back(asked_at + fleet::permit_validity);
        schedule_sample_dispatch(self);
    }
    wake_queue(self, found->record.service);
}

void on_no_answer(gateway& self, std::uint64_t number)
{
    auto const request = self.permits.pending.extract(number);
    if (request.empty())
    {
        return;
    }
    count_permit_request(self, "no_answer");
    if (auto* const found = fleet::find_upstream(self.pool, request.mapped().upstream))
    {
        found->limit.ask_at = base::mono_now() + no_issuer_pause;
    }
}

void ask_issuer(gateway& self, std::string const& address, std::string const& upstream,
                fleet::rate_limit& limit, base::mono_time now)
{
    auto const number = ++self.permits.last_number;
    limit.ask_at = now + answer_timeout + no_issuer_pause;
    self.permits.pending[number] = {
        upstream, address, now,
        base::at(now + answer_timeout, [&self, number] { on_no_answer(self, number); })};
    send_to_peer(self.peers, address,
                 wire::permit_request{number, upstream, *limit.requests_per_s});
}

void request_permit(gateway& self, std::string const& upstream, fleet::rate_limit& limit,
                    base::mono_time now)
{
    auto const& views = self.permits.views;
    auto const host =
        views.empty() ? std::string_view() : rollout::issuer_of(views.back(), upstream);
    auto const member = self.shared.members.find(host);
    if (host == self.settings.host)
    {
        apply_decision(self, upstream, now,
                       issue_permit(self, upstream, *limit.requests_per_s, now));
    }
    else if (member != self.shared.members.end())
    {
        ask_issuer(self, member->second.peer_address, upstream, limit, now);
    }
    else
    {
        limit.ask_at = now + no_issuer_pause;
        count_permit_request(self, "no_issuer");
    }
}

} // namespace

void record_rate_limit(gateway& self, std::string const& upstream,
                       platform::response_head const& head, std::uint16_t status,
                       base::mono_time sent_at)
{
    auto* const found = fleet::find_upstream(self.pool, upstream);
    bool const removes = !head.rate_limit && http::status::is_success(status);
    // A misdirected request was answered by another upstream.
    bool const says_something = (head.rate_limit || removes) && !head.has_unreadable_limit &&
                                status != http::status::misdirected;
    if (found == nullptr || !says_something)
    {
        return;
    }
    if (fleet::note_statement(found->limit, head.rate_limit, sent_at, base::mono_now()))
    {
        base::log_line(base::log_level::info,
                       head.rate_limit ? "rate_limit_stated" : "rate_limit_removed",
                       {{"upstream", upstream},
                        {"requests_per_s", fmt::format("{}", head.rate_limit.value_or(0))}});
    }
}

void request_wanted_permits(gateway& self)
{
    auto const now = base::mono_now();
    for (auto& [id, upstream] : self.pool.upstreams)
    {
        auto& limit = upstream.limit;
        bool const is_wanted = std::exchange(limit.permit_wanted, false);
        if (is_wanted && limit.requests_per_s && now >= limit.ask_at)
        {
            request_permit(self, id, limit, now);
        }
    }
}

void answer_permit_request(gateway& self, wire::connection& from,
                           wire::permit_request const& request)
{
    auto const now = base::mono_now();
    auto const decision = issue_permit(self, request.upstream, request.requests_per_s, now);
    (void)wire::send(from, wire::permit_answer{request.number, decision.granted,
                                               std::max(base::duration{}, decision.next_at - now)});
}

void handle_permit_answer(gateway& self, wire::permit_answer const& answer)
{
    auto const request = self.permits.pending.extract(answer.number);
    if (request.empty())
    {
        return;
    }
    apply_decision(self, request.mapped().upstream, request.mapped().asked_at,
                   {answer.granted, base::mono_now() + answer.retry_after});
}

void fail_permit_requests_to(gateway& self, std::string const& address)
{
    for (auto const number : numbers_sent_to(self.permits.pending, address))
    {
        on_no_answer(self, number);
    }
}

void discard_unused_buckets(gateway& self)
{
    std::erase_if(self.permits.buckets,
                  [&](auto const& bucket) { return !self.pool.upstreams.contains(bucket.first); });
}

} // namespace gooseberrywood::gateway
