#include "gateway/list_exchange.hpp"

#include "base/log.hpp"
#include "gateway/gateway.hpp"
#include "gateway/job_running.hpp"
#include "gateway/measure.hpp"
#include "gateway/refresh.hpp"
#include "rollout/list_readers.hpp"
#include "rollout/result_chunk.hpp"
#include "rollout/store_keys.hpp"
#include "store/list_copy.hpp"

#include <span>
#include <utility>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

// Another gateway answers from its memory.
constexpr base::duration answer_timeout = std::chrono::milliseconds(400);
constexpr base::duration avoid_time = std::chrono::milliseconds(3000);

bool is_avoided(gateway const& self, std::string_view host, base::mono_time now)
{
    auto const at = self.lists.avoided_until.find(host);
    return at != self.lists.avoided_until.end() && now < at->second;
}

void end_request(gateway& self, std::uint64_t number,
                 std::optional<wire::list_answer> const& answer)
{
    auto asked = self.lists.waiting.extract(number);
    if (asked.empty())
    {
        return;
    }
    auto const& request = asked.mapped();
    if (!answer)
    {
        self.lists.avoided_until[request.host] = base::mono_now() + avoid_time;
        base::log_line(base::log_level::warning, "list_reader_silent", {{"host", request.host}});
    }
    count_list_request(self, !answer             ? "no_answer"
                             : answer->available ? "answered"
                                                 : "not_available");
    request.then(answer);
}

/// Answers a request for the results of a job that this gateway owns from the position on that the
/// request names as its version. All that is listed is in the store.
wire::list_answer own_results(gateway const& self, wire::list_request const& what,
                              base::mono_time now)
{
    wire::list_answer answer;
    for (auto const& [id, job] : self.jobs)
    {
        bool const is_asked = rollout::result_prefix(id) == what.prefix;
        if (!is_asked || !owns(self, job, now) || what.version > job.listed.size())
        {
            continue;
        }
        answer.available = true;
        auto const listed = std::span(job.listed).subspan(what.version);
        if (!listed.empty())
        {
            // As if the store held them in one item.
            answer.changes.items.push_back({rollout::result_key(id, job.listed.size() - 1),
                                            rollout::encode_results(listed), 0});
        }
    }
    return answer;
}

} // namespace

std::optional<rollout::member> choose_reader(gateway const& self, base::mono_time now)
{
    auto const readers =
        rollout::readers_to_ask(self.shared.members, self.settings.host, self.settings.domain);
    for (auto const* one : readers)
    {
        if (!is_avoided(self, one->host, now))
        {
            return *one;
        }
    }
    return std::nullopt;
}

std::optional<rollout::member> find_owner(gateway const& self, std::string const& job,
                                          base::mono_time now)
{
    auto const owner = self.shared.owners.find(job);
    if (owner == self.shared.owners.end())
    {
        return std::nullopt;
    }
    for (auto const& [host, member] : self.shared.members)
    {
        bool const owns = rollout::owner_id(host, member.lease) == owner->second.value;
        bool const can_be_asked = host != self.settings.host && !member.peer_address.empty();
        if (owns && can_be_asked && !is_avoided(self, host, now))
        {
            return member;
        }
    }
    return std::nullopt;
}

bool reads_for_others(gateway const& self)
{
    return rollout::readers_to_ask(self.shared.members, self.settings.host, self.settings.domain)
        .empty();
}

void request_list(gateway& self, rollout::member const& reader, wire::list_request what,
                  list_answered then)
{
    auto const number = ++self.lists.last_number;
    what.number = number;
    self.lists.waiting[number] = {reader.host, reader.peer_address, std::move(then),
                                  base::at(base::mono_now() + answer_timeout, [&self, number]
                                           { end_request(self, number, std::nullopt); })};
    send_to_peer(self.peers, reader.peer_address, std::move(what));
}

void answer_list_request(gateway& self, wire::connection& from, wire::list_request const& what)
{
    wire::list_answer answer;
    auto const now = base::mono_now();
    auto const* const list = find_list(self, what.prefix);
    if (list == nullptr)
    {
        answer = own_results(self, what, now);
    }
    answer.number = what.number;
    if (list != nullptr && list->confirmed_at != base::mono_time{} &&
        now - list->copy.last_read.begin <= what.longest_age)
    {
        answer.available = true;
        answer.begin_age = now - list->copy.last_read.begin;
        answer.end_age = now - list->copy.last_read.end;
        answer.changes = store::changes_since(list->copy, what.source, what.version);
    }
    if (!wire::send(from, answer))
    {
        // Too long for a frame: the other gateway reads the list itself.
        (void)wire::send(from, wire::list_answer{what.number, false, {}, {}, {}});
    }
}

void take_list_answer(gateway& self, wire::list_answer const& got)
{
    end_request(self, got.number, got);
}

void end_list_requests_to(gateway& self, std::string const& address)
{
    std::vector<std::uint64_t> lost;
    for (auto const& [number, asked] : self.lists.waiting)
    {
        if (asked.address == address)
        {
            lost.push_back(number);
        }
    }
    for (auto const number : lost)
    {
        end_request(self, number, std::nullopt);
    }
}

} // namespace gooseberrywood::gateway
