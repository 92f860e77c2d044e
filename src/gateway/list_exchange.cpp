#include "gateway/list_exchange.hpp"

#include "base/log.hpp"
#include "gateway/gateway.hpp"
#include "gateway/job_running.hpp"
#include "gateway/measure.hpp"
#include "gateway/pending_messages.hpp"
#include "gateway/refresh.hpp"
#include "rollout/list_readers.hpp"
#include "rollout/result_chunk.hpp"
#include "rollout/store_keys.hpp"
#include "store/list_copy.hpp"

#include <span>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

// Other gateways answer from memory.
constexpr base::duration list_answer_timeout = std::chrono::milliseconds(400);
constexpr base::duration avoid_duration = std::chrono::milliseconds(3000);

bool is_avoided(gateway const& self, std::string_view host, base::mono_time now)
{
    auto const it = self.lists.avoided_until.find(host);
    return it != self.lists.avoided_until.end() && now < it->second;
}

void complete_request(gateway& self, std::uint64_t number,
                      std::optional<wire::list_answer> const& answer)
{
    auto entry = self.lists.pending.extract(number);
    if (entry.empty())
    {
        return;
    }
    auto const& request = entry.mapped();
    if (!answer)
    {
        self.lists.avoided_until[request.host] = base::mono_now() + avoid_duration;
        base::log_line(base::log_level::warning, "list_reader_silent", {{"host", request.host}});
    }
    count_list_request(self, !answer             ? "no_answer"
                             : answer->available ? "answered"
                                                 : "not_available");
    request.on_answer(answer);
}

/// Answers a request for the results of a job that this gateway owns. The request's version is the
/// position of the first result to send. All listed results are in the store. While the store may
/// hold more of them, the other gateway must read them there.
wire::list_answer answer_with_owned_results(gateway const& self, wire::list_request const& request,
                                            base::mono_time now)
{
    wire::list_answer answer;
    for (auto const& [id, job] : self.jobs)
    {
        bool const is_requested = rollout::result_prefix(id) == request.prefix;
        if (!is_requested || !knows_stored_results(self, job, now) ||
            request.version > job.listed.size())
        {
            continue;
        }
        answer.available = true;
        auto const listed = std::span(job.listed).subspan(request.version);
        if (!listed.empty())
        {
            // Sent like one stored item, keyed by the position of its last result.
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
    for (auto const* reader : readers)
    {
        if (!is_avoided(self, reader->host, now))
        {
            return *reader;
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

void request_list(gateway& self, rollout::member const& reader, wire::list_request request,
                  list_answer_handler on_answer)
{
    auto const number = ++self.lists.last_number;
    request.number = number;
    self.lists.pending[number] = {reader.host, reader.peer_address, std::move(on_answer),
                                  base::at(base::mono_now() + list_answer_timeout, [&self, number]
                                           { complete_request(self, number, std::nullopt); })};
    send_to_peer(self.peers, reader.peer_address, std::move(request));
}

void answer_list_request(gateway& self, wire::connection& from, wire::list_request const& request)
{
    wire::list_answer answer;
    auto const now = base::mono_now();
    auto const* const list = find_list_poller(self, request.prefix);
    if (list == nullptr)
    {
        answer = answer_with_owned_results(self, request, now);
    }
    answer.number = request.number;
    if (list != nullptr && list->confirmed_at != base::mono_time{} &&
        now - list->copy.last_read.begin <= request.longest_age)
    {
        answer.available = true;
        answer.begin_age = now - list->copy.last_read.begin;
        answer.end_age = now - list->copy.last_read.end;
        answer.changes = store::changes_since(list->copy, request.source, request.version);
    }
    if (!wire::send(from, answer))
    {
        // The answer exceeds the frame size limit: the other gateway reads the list itself.
        (void)wire::send(from, wire::list_answer{request.number, false, {}, {}, {}});
    }
}

void handle_list_answer(gateway& self, wire::list_answer const& answer)
{
    complete_request(self, answer.number, answer);
}

void fail_list_requests_to(gateway& self, std::string const& address)
{
    for (auto const number : numbers_sent_to(self.lists.pending, address))
    {
        complete_request(self, number, std::nullopt);
    }
}

} // namespace gooseberrywood::gateway
