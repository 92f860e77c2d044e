#include "config/apply_round.hpp"

#include "config/delta.hpp"
#include "config/timing.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gooseberrywood::config
{

namespace
{

void enter(apply_round& of, apply_phase phase)
{
    of.phase = phase;
    ++of.step;
}

void finish(apply_round& of, base::result_code code, std::string message)
{
    of.outcome.code = code;
    of.outcome.message = std::move(message);
    enter(of, apply_phase::finished);
}

void finish_conflict(apply_round& of, std::uint64_t other)
{
    of.outcome.other_version = other;
    finish(of, base::result_code::version_conflict,
           fmt::format("not written: the store holds version {}", other));
}

void announce(apply_round& of, base::mono_time now)
{
    // An acknowledgement counts for one announcement only: a process forgets it in time.
    of.acknowledged_by.clear();
    of.announce_until = now + announce_limit;
    of.write_until = now + announcement_lifetime;
    enter(of, apply_phase::announcing);
}

void count(apply_round& of)
{
    of.outcome.in_force = 0;
    of.outcome.not_answered.clear();
    for (auto const& host : of.processes)
    {
        auto const stated = of.versions.find(host);
        if (stated != of.versions.end() && stated->second >= of.proposed.version)
        {
            ++of.outcome.in_force;
        }
        else
        {
            of.outcome.not_answered.push_back(host);
        }
    }
}

void finish_wait(apply_round& of, base::mono_time now)
{
    count(of);
    if (of.outcome.not_answered.empty())
    {
        finish(of, base::result_code::ok,
               fmt::format("version {} is in effect in {} processes", of.proposed.version,
                           of.outcome.in_force));
    }
    else if (now >= of.wait_until)
    {
        finish(of, base::result_code::not_in_force_everywhere,
               fmt::format("version {} is in effect in {} of {} processes", of.proposed.version,
                           of.outcome.in_force, of.processes.size()));
    }
}

void written(apply_round& of, base::mono_time now)
{
    of.may_be_written = false;
    of.wait_until = now + in_force_target;
    enter(of, apply_phase::waiting);
    finish_wait(of, now);
}

void propose(apply_round& of, record const& current, std::span<std::string const> bundle_domains,
             base::mono_time now)
{
    if (of.expected_version && *of.expected_version != current.version)
    {
        finish_conflict(of, current.version);
        return;
    }
    auto made = of.change(current);
    if (!made)
    {
        finish(of, made.error().code, made.error().message);
        return;
    }
    of.proposed = std::move(*made);
    of.proposed.version = current.version + 1;
    of.base_version = current.version;
    of.domains.assign(bundle_domains.begin(), bundle_domains.end());
    of.outcome.version = of.proposed.version;
    of.proposed_hash = record_hash(of.proposed);
    if (auto const encoded = encode(of.proposed); !encoded)
    {
        finish(of, encoded.error().code, encoded.error().message);
        return;
    }
    auto content = encode(make_delta(current, of.proposed));
    if (!content)
    {
        finish(of, content.error().code, content.error().message);
        return;
    }
    of.content = std::move(*content);
    if (current.version == 0)
    {
        // Without a configuration no process serves keyed routes, so nobody needs to be told.
        of.write_until = now + announcement_lifetime;
        enter(of, apply_phase::writing);
        return;
    }
    announce(of, now);
}

void read_back(apply_round& of, record const& held, base::mono_time now)
{
    if (held.version == of.base_version && now >= of.give_up_at)
    {
        finish(of, base::result_code::store_outcome_unknown,
               fmt::format("version {} is not in the store, but a write may be on its way",
                           of.proposed.version));
    }
    else if (held.version == of.base_version)
    {
        // The write may still be on its way. Writing again is safe, since only one of the two can
        // pass the comparison, and both have the same content.
        announce(of, now);
    }
    else if (held == of.proposed)
    {
        written(of, now);
    }
    else if (held.version == of.proposed.version || !of.may_be_written)
    {
        of.may_be_written = false;
        finish_conflict(of, held.version);
    }
    else
    {
        of.outcome.other_version = held.version;
        finish(of, base::result_code::store_outcome_unknown,
               fmt::format("version {} may have been written; the store now holds version {}",
                           of.proposed.version, held.version));
    }
}

} // namespace

apply_round start_round(std::string announcer, change_function change,
                        std::span<std::string const> processes, std::span<witness const> agents,
                        base::mono_time now)
{
    apply_round made;
    made.announcer = std::move(announcer);
    made.change = std::move(change);
    made.processes.assign(processes.begin(), processes.end());
    made.agents.assign(agents.begin(), agents.end());
    made.give_up_at = now + apply_limit;
    enter(made, apply_phase::reading);
    return made;
}

void store_read(apply_round& of, base::result<std::optional<record>> const& held,
                std::span<std::string const> bundle_domains, base::mono_time now)
{
    if (of.phase != apply_phase::reading && of.phase != apply_phase::reading_back)
    {
        return;
    }
    if (!held)
    {
        tick(of, now);
        if (of.phase != apply_phase::finished)
        {
            enter(of, of.phase);
        }
        return;
    }
    auto const current = held->value_or(record{});
    if (of.phase == apply_phase::reading)
    {
        propose(of, current, bundle_domains, now);
    }
    else
    {
        read_back(of, current, now);
    }
}

void store_written(apply_round& of, write_answer answer, base::mono_time now)
{
    if (of.phase != apply_phase::writing)
    {
        return;
    }
    if (answer == write_answer::written)
    {
        written(of, now);
        return;
    }
    // After a refusal the other's version is read. An earlier write of this round whose answer was
    // lost may be what refused this one.
    of.may_be_written = of.may_be_written || answer == write_answer::lost;
    enter(of, apply_phase::reading_back);
}

void acknowledged(apply_round& of, std::string_view host, intent const& said, base::mono_time now)
{
    if (of.phase != apply_phase::announcing ||
        said.what != named_change{of.proposed.version, of.proposed_hash} ||
        said.announcer != of.announcer || said.withdrawn)
    {
        return;
    }
    of.acknowledged_by.emplace(host);
    if (announced_domains(of) >= domain_majority(of.domains.size()) && now < of.announce_until)
    {
        enter(of, apply_phase::writing);
    }
}

void heard(apply_round& of, peer_frame const& frame, base::mono_time now)
{
    of.versions[frame.host] = frame.version;
    if (of.phase == apply_phase::waiting)
    {
        finish_wait(of, now);
    }
}

void tick(apply_round& of, base::mono_time now)
{
    switch (of.phase)
    {
    case apply_phase::reading:
        if (now >= of.give_up_at)
        {
            finish(of, base::result_code::store_unavailable,
                   "not written: the store does not answer");
        }
        break;
    case apply_phase::reading_back:
        if (now >= of.give_up_at)
        {
            finish(of,
                   of.may_be_written ? base::result_code::store_outcome_unknown
                                     : base::result_code::version_conflict,
                   fmt::format("version {} {}; the store does not answer", of.proposed.version,
                               of.may_be_written ? "may have been written" : "was not written"));
        }
        break;
    case apply_phase::announcing:
        if (now >= of.announce_until)
        {
            finish(of,
                   of.may_be_written ? base::result_code::store_outcome_unknown
                                     : base::result_code::timeout,
                   fmt::format("version {} {}: announced in {} of {} failure domains",
                               of.proposed.version,
                               of.may_be_written ? "may have been written" : "was not written",
                               announced_domains(of), of.domains.size()));
        }
        break;
    case apply_phase::writing:
        if (now >= of.write_until)
        {
            store_written(of, write_answer::lost, now);
        }
        break;
    case apply_phase::waiting:
        finish_wait(of, now);
        break;
    case apply_phase::finished:
        break;
    }
}

intent intent_of(apply_round const& of)
{
    auto const code = of.outcome.code;
    bool const withdrawn = of.phase == apply_phase::finished && !of.may_be_written &&
                           code != base::result_code::ok &&
                           code != base::result_code::not_in_force_everywhere &&
                           code != base::result_code::store_outcome_unknown;
    return {{of.proposed.version, of.proposed_hash}, of.announcer, withdrawn, of.content};
}

std::size_t announced_domains(apply_round const& of)
{
    struct tally
    {
        std::size_t listed = 0;
        std::size_t acknowledged = 0;
    };
    std::map<std::string_view, tally> tallies;
    for (auto const& agent : of.agents)
    {
        auto& at = tallies[agent.domain];
        ++at.listed;
        at.acknowledged += of.acknowledged_by.contains(agent.host) ? 1 : 0;
    }
    std::size_t reached = 0;
    for (auto const& domain : of.domains)
    {
        auto const at = tallies.find(domain);
        if (at != tallies.end() && at->second.acknowledged >= announced_quorum(at->second.listed))
        {
            ++reached;
        }
    }
    return reached;
}

} // namespace gooseberrywood::config
