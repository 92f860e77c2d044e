#include "entry/dispatch.hpp"

#include "entry/completion_answer.hpp"
#include "entry/requests.hpp"
#include "routing/choose.hpp"
#include "routing/prefix_hash.hpp"

#include <algorithm>

namespace gooseberrywood::entry
{

namespace
{

wire::start make_start(entry_process& entry, request const& of, base::mono_time now)
{
    wire::start out;
    out.id = of.id;
    out.attempt = of.log.attempt;
    out.upstream = of.upstream;
    out.team = of.caller.team;
    out.route = of.caller.route;
    out.path = of.caller.path;
    out.method = of.caller.method;
    out.content_type = of.caller.content_type;
    out.idempotent = of.caller.idempotent;
    out.stream = of.caller.stream;
    out.deadline = wire::to_wall(of.log.deadline);
    out.cost = of.caller.cost;
    out.body = of.caller.body;
    out.resume_tokens = of.log.passed_tokens;
    out.resume_text = of.caller.stream ? text_of(of.passed) : of.passed;
    out.fingerprint = of.caller.fingerprint;
    out.crash_ids = routing::crash_ids(entry.suspects, of.caller.fingerprint, now);
    out.key_hash = of.caller.key_hash;
    return out;
}

std::optional<routing::choice> choose_for(entry_process& entry, request const& which,
                                          base::mono_time now)
{
    routing::choice_request wanted;
    wanted.route = which.caller.route;
    wanted.prefix = routing::prefix_hash(which.caller.prompt_prefix);
    wanted.tried = which.log.tried;
    wanted.suspect = is_suspect(entry, which, now);
    return routing::choose(entry.upstreams, wanted, now, entry.random);
}

void send_attempt(entry_process& entry, request& which, routing::choice const& chosen,
                  base::mono_time now)
{
    auto const* const state = routing::find_upstream(entry.upstreams, chosen.upstream);
    auto const& agent = entry.upstreams.agents[state->agent];
    auto const& link = entry.agents.find(agent.host)->second;
    which.upstream = state->name;
    which.agent_host = agent.host;
    which.agent_incarnation = agent.incarnation;
    std::optional<base::mono_time> suspect_until;
    if (is_suspect(entry, which, now))
    {
        suspect_until = which.log.deadline;
    }
    which.ticket = routing::begin_attempt(entry.upstreams, chosen.upstream, suspect_until);
    (void)routing::on_sent(which.log, chosen.upstream);
    link->requests.insert(which.id);
    set_timer(entry, which);
    auto const sent = wire::send(*link->connection, make_start(entry, which, now));
    if (!sent && sent.error().code == base::result_code::frame_too_large)
    {
        carry_out(entry, which,
                  routing::on_refused(which.log, which.log.attempt,
                                      base::result_code::request_too_large, true, now, now,
                                      retry_means_of(entry)));
    }
}

void dispatch(entry_process& entry)
{
    auto const now = base::mono_now();
    // Lanes for which no upstream was found in this run; the others go on.
    std::vector<std::string> exhausted;
    while (true)
    {
        std::vector<std::pair<base::request_id, routing::choice>> offered;
        auto const eligible = [&](queued_request const& item)
        {
            if (std::find(exhausted.begin(), exhausted.end(), item.lane) != exhausted.end())
            {
                return false;
            }
            auto const chosen = choose_for(entry, *item.of, now);
            if (!chosen)
            {
                exhausted.push_back(item.lane);
                return false;
            }
            offered.emplace_back(item.of->id, *chosen);
            return true;
        };
        auto const item = admission::pick(entry.queue, now, eligible);
        if (!item)
        {
            return;
        }
        // Several lanes of a team may have been asked, so the last choice need not be the item's.
        auto const choice =
            std::find_if(offered.begin(), offered.end(),
                         [&](auto const& offer) { return offer.first == item->of->id; });
        send_attempt(entry, *find_request(entry, item->of->id), choice->second, now);
    }
}

} // namespace

bool is_suspect(entry_process const& entry, request const& which, base::mono_time now)
{
    return routing::classify(entry.suspects, which.caller.fingerprint, now) ==
           routing::suspect_class::suspect;
}

void dispatch_soon(entry_process& entry)
{
    if (!entry.dispatch)
    {
        entry.dispatch = base::soon(
            [&entry]
            {
                entry.dispatch.reset();
                dispatch(entry);
            });
        g_source_set_priority(entry.dispatch.get(), G_PRIORITY_DEFAULT);
    }
}

} // namespace gooseberrywood::entry
