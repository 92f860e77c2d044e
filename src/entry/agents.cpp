#include "entry/agents.hpp"

#include "base/log.hpp"
#include "entry/answers.hpp"
#include "entry/configuration.hpp"
#include "entry/dispatch.hpp"
#include "entry/requests.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gooseberrywood::entry
{

namespace
{

using base::mono_now;

std::vector<base::request_id> ids_of(agent_link const& link)
{
    return {link.requests.begin(), link.requests.end()};
}

void handle(entry_process& entry, agent_link& link, wire::hello& message)
{
    link.session = routing::connect_agent(entry.upstreams, message);
    for (auto const& mark : routing::valid_marks(entry.suspects, mono_now()))
    {
        (void)wire::send(*link.connection, wire::suspect{mark.fingerprint, mark.crash_ids,
                                                         wire::to_wall(mark.expires_at)});
    }
    for (auto const& id : ids_of(link))
    {
        auto* const which = find_request(entry, id);
        if (which != nullptr && which->fence_pending)
        {
            send_fence(entry, *which);
        }
    }
}

void handle(entry_process& entry, agent_link&, wire::started& message)
{
    if (auto* const which = find_request(entry, message.id))
    {
        carry_out(entry, *which, routing::on_started(which->log, message.attempt));
    }
}

void fail_too_large(entry_process& entry, request& which)
{
    which.refusal_message = "the answer exceeds the size limit";
    carry_out(entry, which, routing::on_answer_too_large(which.log));
}

/// Counts bytes that are about to be held for a request.
/// \returns whether they may be held.
bool count_passed(entry_process& entry, request& which, std::size_t bytes)
{
    if (!which.passed_share)
    {
        auto const& limits = entry.response_limits;
        which.passed_share = base::open_share(limits.budget, limits.max_response_bytes,
                                              [&entry, id = which.id]
                                              {
                                                  if (auto* const evicted = find_request(entry, id))
                                                  {
                                                      fail_too_large(entry, *evicted);
                                                  }
                                              });
    }
    return base::grow(*which.passed_share, bytes) == base::growth::granted;
}

void handle(entry_process& entry, agent_link&, wire::chunk& message)
{
    auto* const which = find_request(entry, message.id);
    if (which == nullptr)
    {
        return;
    }
    auto const decided = routing::on_chunk(which->log, message.attempt, message.first_token,
                                           message.tokens, mono_now(), retry_means_of(entry));
    bool const is_forwarded = decided.kind == routing::decision_kind::forward;
    if (is_forwarded && !count_passed(entry, *which, message.bytes.size()))
    {
        fail_too_large(entry, *which);
        return;
    }
    if (is_forwarded && !pass_tokens(*which, message.bytes))
    {
        which->refusal_message = "the caller reads too slowly";
        carry_out(entry, *which, routing::on_canceled(which->log));
        return;
    }
    carry_out(entry, *which, decided);
}

/// Whether an upstream answered with an error although tokens were passed to the caller. Such an
/// answer is no continuation.
bool is_error_within_answer(request const& which, wire::finished const& message)
{
    constexpr std::uint16_t http_ok = 200;
    return which.log.passed_tokens > 0 && message.status != http_ok;
}

void handle(entry_process& entry, agent_link&, wire::finished& message)
{
    auto* const which = find_request(entry, message.id);
    if (which == nullptr)
    {
        return;
    }
    if (is_error_within_answer(*which, message))
    {
        which->refusal_message = fmt::format(
            "the upstream answered with {} where an answer was to go on", message.status);
        carry_out(entry, *which,
                  routing::on_refused(which->log, message.attempt,
                                      base::result_code::upstream_error, false, mono_now(),
                                      mono_now(), retry_means_of(entry)));
        return;
    }
    auto const decided = routing::on_finished(which->log, message.attempt, message.total_tokens,
                                              mono_now(), retry_means_of(entry));
    if (decided.kind == routing::decision_kind::complete)
    {
        which->end = std::move(message);
    }
    carry_out(entry, *which, decided);
}

void handle(entry_process& entry, agent_link& link, wire::refuse& message)
{
    auto* const which = find_request(entry, message.id);
    if (which == nullptr)
    {
        return;
    }
    which->refusal_message = message.message;
    carry_out(entry, *which,
              routing::on_refused(which->log, message.attempt, message.code, message.not_run,
                                  wire::to_local(*link.connection, message.retry_at), mono_now(),
                                  retry_means_of(entry)));
}

void handle(entry_process& entry, agent_link&, wire::fenced& message)
{
    if (auto* const which = find_request(entry, message.id))
    {
        carry_out(entry, *which,
                  routing::on_fenced(which->log, message.attempt, message.started, mono_now(),
                                     retry_means_of(entry)));
    }
}

void handle(entry_process& entry, agent_link& link, wire::credit& message)
{
    if (link.session && routing::apply_credit(entry.upstreams, *link.session, message, mono_now()))
    {
        dispatch_soon(entry);
    }
}

void act_on_claim(entry_process& entry, request& which)
{
    auto const outcome = which.claim->outcome;
    if (outcome == routing::claim_outcome::pending)
    {
        return;
    }
    which.claim.reset();
    auto const decided = routing::on_claim_decided(which.log, outcome);
    if (outcome == routing::claim_outcome::run)
    {
        enqueue(entry, which);
        return;
    }
    which.refusal_message =
        outcome == routing::claim_outcome::duplicate
            ? "a request with this Idempotency-Key was sent before; it may have run"
            : "it can't be told whether a request with this Idempotency-Key ran before";
    carry_out(entry, which, decided);
}

void handle(entry_process& entry, agent_link& link, wire::claimed& message)
{
    auto* const which = find_request(entry, message.id);
    if (which != nullptr && which->claim)
    {
        (void)routing::on_claim_answer(*which->claim, link.host, message);
        act_on_claim(entry, *which);
    }
}

void handle(entry_process& entry, agent_link& link, wire::suspect& message)
{
    auto const now = mono_now();
    if (!routing::merge_suspect(entry.suspects, message.fingerprint, message.crash_ids,
                                wire::to_local(*link.connection, message.expires_at), now))
    {
        return;
    }
    auto const crashes = routing::crash_ids(entry.suspects, message.fingerprint, now).size();
    base::log_line(base::log_level::warning, "request_marked",
                   {{"host", std::string_view(link.host)},
                    {"fingerprint", std::string_view(fmt::format("{:016x}", message.fingerprint))},
                    {"crashes", static_cast<std::int64_t>(crashes)}});
}

template <class Other>
void handle(entry_process&, agent_link&, Other const&)
{
    // The other messages go from entries to agents only.
}

void lose_claim_home(entry_process& entry, std::string const& host)
{
    std::vector<base::request_id> claiming;
    for (auto const& [id, which] : entry.requests)
    {
        if (which.claim)
        {
            claiming.push_back(id);
        }
    }
    for (auto const& id : claiming)
    {
        auto& which = *find_request(entry, id);
        (void)routing::on_home_lost(*which.claim, host);
        act_on_claim(entry, which);
    }
}

void handle_lost(entry_process& entry, agent_link& link)
{
    if (link.session)
    {
        routing::disconnect_agent(entry.upstreams, *link.session);
        link.session.reset();
    }
    for (auto const& id : ids_of(link))
    {
        if (auto* const which = find_request(entry, id))
        {
            carry_out(entry, *which,
                      routing::on_connection_lost(which->log, mono_now(), retry_means_of(entry)));
        }
    }
    lose_claim_home(entry, link.host);
    config::disconnected(entry.configuration.in_force, link.host);
}

void drop_link(entry_process& entry, std::string const& host)
{
    auto const link = entry.agents.at(host);
    if (link->connection)
    {
        wire::close(*link->connection,
                    {base::result_code::connection_lost, "the host is gone or has moved"});
    }
    entry.agents.erase(host);
}

} // namespace

void add_agent(entry_process& entry, std::string const& host, std::string const& address)
{
    auto const known = entry.agents.find(host);
    if (known != entry.agents.end() && known->second->address == address)
    {
        return;
    }
    if (known != entry.agents.end())
    {
        // The host came back with another address.
        drop_link(entry, host);
    }
    link_handlers handlers;
    handlers.stamp = [&entry, host]
    {
        auto const at = entry.agents.find(host);
        return at != entry.agents.end() ? make_stamp(entry, *at->second) : wire::frame_stamp{};
    };
    handlers.on_frame = [&entry, host](wire::frame& received)
    {
        auto const link = entry.agents.at(host);
        std::visit([&](auto& message) { handle(entry, *link, message); }, received.body);
        note_frame(entry, *link, received);
    };
    handlers.on_lost = [&entry, host](base::error const&)
    {
        auto const link = entry.agents.at(host);
        handle_lost(entry, *link);
    };
    entry.agents.emplace(host, make_link(host, address, entry.own, std::move(handlers)));
}

void remove_unlisted_agents(entry_process& entry)
{
    std::vector<std::string> unlisted;
    for (auto const& [host, link] : entry.agents)
    {
        auto const& name = link->host;
        auto const is_this = [&name](auto const& one)
        {
            return one.host == name;
        };
        bool const named =
            std::any_of(entry.witnesses.begin(), entry.witnesses.end(), is_this) ||
            std::any_of(entry.settings.agents.begin(), entry.settings.agents.end(), is_this);
        if (!named && link->requests.empty() && !is_up(*link))
        {
            unlisted.push_back(host);
        }
    }
    for (auto const& host : unlisted)
    {
        drop_link(entry, host);
        routing::remove_host(entry.upstreams, host);
    }
}

void begin_claim(entry_process& entry, request& which)
{
    // Every home must answer: with the reachable ones alone, two entries that each reach only one
    // of them during a cut would both run the request.
    constexpr base::duration claim_patience = std::chrono::seconds(4);
    auto const now = mono_now();
    routing::on_claim_started(which.log);
    auto const homes = routing::choose_claim_homes(entry.claim_homes, which.id);
    auto const is_connected = [&](std::string_view host)
    {
        auto const at = entry.agents.find(host);
        return at != entry.agents.end() && is_up(*at->second);
    };
    which.claim = routing::start_claim(which.id, entry.random(), homes,
                                       std::min(which.log.deadline, now + claim_patience),
                                       is_connected, routing::claim_rule::every_home);
    auto const message = routing::claim_message(*which.claim, wire::to_wall(which.log.deadline));
    for (auto const& home : which.claim->homes)
    {
        if (home.state == routing::claim_home_state::state::asked)
        {
            (void)wire::send(*entry.agents.find(home.host)->second->connection, message);
        }
    }
    which.timer = base::at(which.claim->answer_by,
                           [&entry, id = which.id]
                           {
                               auto* const waiting = find_request(entry, id);
                               if (waiting != nullptr && waiting->claim)
                               {
                                   (void)routing::check_claim_deadline(*waiting->claim, mono_now());
                                   act_on_claim(entry, *waiting);
                               }
                           });
    act_on_claim(entry, which);
}

} // namespace gooseberrywood::entry
