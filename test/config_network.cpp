#include "config_network.hpp"

#include "config_network_checks.hpp"
#include "wire/send_times.hpp"

#include <fmt/format.h>

#include <algorithm>

using namespace std::chrono_literals;

namespace gooseberrywood::test
{

namespace
{

constexpr int operator_base = 1000;

bool chance(network& of, double share)
{
    return std::bernoulli_distribution(share)(of.random);
}

base::duration between(network& of, base::duration low, base::duration high)
{
    return base::duration(
        std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(of.random));
}

int below(network& of, std::size_t bound)
{
    return static_cast<int>(of.random() % bound);
}

bool faults_active(network const& of)
{
    return of.options.faults && of.now < of.faults_until;
}

int side(network const& of, int at)
{
    if (at >= operator_base)
    {
        return of.side_of_domain[of.operators[at - operator_base].domain];
    }
    auto const& process = of.processes[at];
    return process.isolated ? -1 - at : of.side_of_domain[process.domain];
}

bool reaches_store(network const& of, int at)
{
    return of.store_up && side(of, at) == 0;
}

void restart(network& of, int index)
{
    auto& at = of.processes[index];
    ++at.incarnation;
    at.clock_offset = between(of, -30min, 30min);
    auto const domains = of.domain_names;
    at.peers.clear();
    at.replica = config::start_replica(
        at.is_entry ? wire::peer_role::entry : wire::peer_role::agent,
        [domains](std::string_view text, std::string_view) -> base::result<config::signed_bundle> {
            return config::signed_bundle{std::stoull(std::string(text.substr(7))), domains};
        },
        local(of, at));
    config::set_witnesses(at.replica.freshness, of.domain_names, of.agents);
}

void send(network& of, int from, int to, decltype(packet::body) body)
{
    packet made;
    made.from = from;
    made.to = to;
    made.body = std::move(body);
    if (to < operator_base)
    {
        made.to_incarnation = of.processes[to].incarnation;
    }
    if (from < operator_base)
    {
        auto& sender = of.processes[from];
        auto const clock = local(of, sender);
        made.header = config::outgoing(sender.replica, clock);
        made.header.host = sender.host;
        made.header.domain = of.domain_names[sender.domain];
        made.sent_us = base::micros(clock);
        made.echo_us = sender.peers[to].to_echo_us;
    }
    if (of.options.faults && chance(of, 0.01))
    {
        return;
    }
    auto const delay = between(of, 500us, faults_active(of) && chance(of, 0.02) ? 6s : 40ms);
    // Frames of one connection arrive in order.
    auto& last = of.last_arrival[{from, to}];
    last = std::max(last, of.now + delay);
    of.packets.emplace(last, std::move(made));
}

void send_to_all(network& of, int from, decltype(packet::body) const& body)
{
    for (int to = 0; to < static_cast<int>(of.processes.size()); ++to)
    {
        bool const connected =
            from >= operator_base || of.processes[from].is_entry != of.processes[to].is_entry;
        if (connected)
        {
            send(of, from, to, body);
        }
    }
}

void receive_body(network& of, packet const& got)
{
    auto& to = of.processes[got.to];
    auto const clock = local(of, to);
    if (auto const* above_version = std::get_if<std::uint64_t>(&got.body))
    {
        auto const answer = config::answer(to.replica, *above_version);
        for (auto const& content : answer.contents)
        {
            send(of, got.to, got.from, content);
        }
        for (auto const& pending : answer.announcements)
        {
            send(of, got.to, got.from, pending);
        }
    }
    else if (auto const* content = std::get_if<std::string>(&got.body))
    {
        (void)config::receive_content(to.replica, *content, clock);
    }
    else if (auto const* said = std::get_if<config::intent>(&got.body))
    {
        config::receive_intent(to.replica, *said, clock);
        if (got.from >= operator_base)
        {
            auto answer = *said;
            answer.content.clear();
            send(of, got.to, got.from, answer);
        }
    }
}

void receive(network& of, packet got)
{
    bool const from_operator = got.from >= operator_base;
    if (side(of, got.from) != side(of, got.to))
    {
        return;
    }
    if (got.to >= operator_base)
    {
        auto& command = of.operators[got.to - operator_base];
        if (command.alive)
        {
            config::acknowledged(command.round, got.header.host, std::get<config::intent>(got.body),
                                 of.now);
        }
        return;
    }
    auto& to = of.processes[got.to];
    if (got.to_incarnation != to.incarnation)
    {
        return;
    }
    if (!from_operator)
    {
        got.header.sent_after =
            wire::update_send_times(to.peers[got.from], got.sent_us, got.echo_us, local(of, to));
        config::receive_frame(to.replica, got.header, local(of, to));
    }
    receive_body(of, got);
}

void accept(network& of, config::record const& written)
{
    auto const after = keys_of(written);
    for (auto const& key : keys_of(of.stored))
    {
        if (!after.contains(key))
        {
            of.withdrawn_at.emplace(key, of.now);
        }
    }
    of.head = config::make_head(of.stored, written);
    of.stored = written;
    of.accepted_at.emplace(written.version, of.now);
}

/// The call arrives; its answer may be lost on the way back.
void arrive(network& of, store_call const& call)
{
    int const caller = call.caller >= 0 ? call.caller : operator_base - 1 - call.caller;
    bool const aborted = of.now >= call.aborted_at;
    if (!reaches_store(of, caller) || aborted)
    {
        return;
    }
    if (call.write)
    {
        bool const fits = call.write->version == of.stored.version + 1;
        if (fits)
        {
            accept(of, *call.write);
        }
        auto& command = of.operators[caller - operator_base];
        if (command.alive && !chance(of, 0.2))
        {
            config::store_written(
                command.round, fits ? config::write_answer::written : config::write_answer::refused,
                of.now);
        }
        return;
    }
    if (caller >= operator_base)
    {
        auto& command = of.operators[caller - operator_base];
        if (command.alive)
        {
            config::store_read(command.round, std::optional(of.stored), of.domain_names, of.now);
        }
        return;
    }
    auto& process = of.processes[caller];
    if (process.incarnation == call.incarnation)
    {
        auto const clock = local(of, process);
        if (config::receive_head(process.replica, of.head, call.asked_at, clock))
        {
            (void)config::receive_store(process.replica, of.stored, call.asked_at, clock);
        }
    }
}

void call_store(network& of, store_call call)
{
    auto const delay = between(of, 500us, faults_active(of) && chance(of, 0.1) ? 8s : 40ms);
    of.calls.emplace(of.now + delay, std::move(call));
}

base::result<config::record> withdraw_some_key(network& of, config::record const& from)
{
    auto keys = keys_of(from);
    keys.erase(std::next(keys.begin(), below(of, keys.size())));
    // A key that came back would count as served after its withdrawal.
    keys.insert(fmt::format("key {}", ++of.keys_made));
    auto made = from;
    made.bundle_text = fmt::format("bundle {}\n", from.version + 1);
    for (auto const& key : keys)
    {
        made.bundle_text += key + "\n";
    }
    return made;
}

void start_operator(network& of)
{
    std::vector<std::string> hosts;
    for (auto const& process : of.processes)
    {
        hosts.push_back(process.host);
    }
    operator_command command;
    command.domain = below(of, of.domain_names.size());
    command.round = config::start_round(
        fmt::format("operator {}", of.operators.size()),
        [&of](config::record const& from) { return withdraw_some_key(of, from); }, hosts, of.agents,
        of.now);
    of.operators.push_back(std::move(command));
}

void act(network& of, int index)
{
    auto& command = of.operators[index];
    auto& round = command.round;
    int const self = operator_base + index;
    if (of.options.faults && chance(of, 0.02))
    {
        command.alive = false;
    }
    if (!command.alive)
    {
        return;
    }
    config::tick(round, of.now);
    bool const entered = round.step != command.seen_step;
    bool const again = of.now >= command.resend_at;
    if (!entered && !again)
    {
        return;
    }
    command.seen_step = round.step;
    command.resend_at = of.now + 1s;
    switch (round.phase)
    {
    case config::apply_phase::reading:
    case config::apply_phase::reading_back:
        call_store(of, {-1 - index, 0, of.now, std::nullopt, base::mono_time::max()});
        break;
    case config::apply_phase::announcing:
        send_to_all(of, self, config::intent_of(round));
        break;
    case config::apply_phase::writing:
        if (entered)
        {
            call_store(of, {-1 - index, 0, of.now, round.proposed, round.write_until});
        }
        break;
    case config::apply_phase::waiting:
        for (auto const& process : of.processes)
        {
            config::heard(
                round, {process.host, {}, config::version(process.replica.current), 0, {}, {}, {}},
                of.now);
        }
        break;
    case config::apply_phase::finished:
        if (config::intent_of(round).withdrawn && round.proposed.version != 0)
        {
            send_to_all(of, self, config::intent_of(round));
        }
        command.alive = false;
        break;
    }
}

void act_process(network& of, int index)
{
    auto& at = of.processes[index];
    auto const clock = local(of, at);
    if ((of.now.time_since_epoch() / step_time + index) % (1s / step_time) == 0)
    {
        send_to_all(of, index, std::monostate{});
        if (at.is_entry)
        {
            call_store(of, {index, at.incarnation, clock, std::nullopt, base::mono_time::max()});
        }
    }
    if (at.is_entry)
    {
        config::prepare(at.replica.freshness, at.replica.current, clock);
    }
    auto const due = config::next_request(at.replica, clock);
    if (due)
    {
        auto const to = std::find_if(of.processes.begin(), of.processes.end(),
                                     [&](process const& peer) { return peer.host == due->host; });
        send(of, index, static_cast<int>(to - of.processes.begin()), due->above_version);
    }
}

/// Times with faults alternate with times without.
void change_faults(network& of)
{
    if (of.now >= of.faults_until + 30s)
    {
        of.faults_until = of.now + between(of, 5s, 40s);
    }
    if (of.now >= of.faults_until)
    {
        std::fill(of.side_of_domain.begin(), of.side_of_domain.end(), 0);
        for (auto& process : of.processes)
        {
            process.isolated = false;
        }
        of.store_up = true;
        return;
    }
    // Late frames of the faulty time are still on their way for a while.
    of.fault_free_since = of.faults_until + 8s;
    if (!of.options.faults)
    {
        return;
    }
    if (chance(of, 0.02))
    {
        of.side_of_domain[below(of, of.side_of_domain.size())] = below(of, 3);
    }
    if (chance(of, 0.02))
    {
        auto& at = of.processes[below(of, of.processes.size())];
        at.isolated = !at.isolated;
    }
    of.store_up = of.store_up != chance(of, 0.02);
    if (chance(of, 0.02))
    {
        restart(of, below(of, of.processes.size()));
    }
}

template <class Due>
void take_due(network& of, std::multimap<base::mono_time, Due>& from,
              void (*use)(network&, Due const&))
{
    while (!from.empty() && from.begin()->first <= of.now)
    {
        auto const next = from.extract(from.begin());
        use(of, next.mapped());
    }
}

} // namespace

base::mono_time local(network const& of, process const& at)
{
    return of.now + at.clock_offset;
}

config::serving_state state_of(network const& of, process const& entry)
{
    if (of.options.naive)
    {
        return entry.replica.current.current ? config::serving_state::full
                                             : config::serving_state::stopped;
    }
    return config::state_of(entry.replica.freshness, local(of, entry));
}

network make_network(network_options const& options)
{
    network made;
    made.options = options;
    made.random.seed(options.seed);
    made.side_of_domain.assign(options.domains, 0);
    made.stored = {1, "bundle 1\nkey a\nkey b\nkey c\nkey d\n", "ok", {}};
    made.head = config::make_head({}, made.stored);
    for (int domain = 0; domain < options.domains; ++domain)
    {
        made.domain_names.push_back(fmt::format("domain {}", domain));
        for (int at = 0; at < options.entries_each + options.agents_each; ++at)
        {
            process added;
            added.is_entry = at < options.entries_each;
            added.host = fmt::format("{} {}.{}", added.is_entry ? "entry" : "agent", domain, at);
            added.domain = domain;
            if (!added.is_entry)
            {
                made.agents.push_back({added.host, made.domain_names.back()});
            }
            made.processes.push_back(std::move(added));
        }
    }
    for (int at = 0; at < static_cast<int>(made.processes.size()); ++at)
    {
        restart(made, at);
    }
    // Agents need a while before they vouch for anything.
    made.faults_until = made.now - 5s;
    made.fault_free_since = made.now;
    made.next_operator = made.now + 5s;
    return made;
}

void run(network& of, base::duration time)
{
    for (auto const end = of.now + time; of.now < end && of.violation.empty(); of.now += step_time)
    {
        change_faults(of);
        take_due<packet>(of, of.packets, [](network& to, packet const& at) { receive(to, at); });
        take_due<store_call>(of, of.calls, arrive);
        if (of.options.operators && of.now >= of.next_operator)
        {
            start_operator(of);
            // Sometimes two at once, which race each other.
            of.next_operator = of.now + (chance(of, 0.3) ? step_time : between(of, 1s, 4s));
        }
        for (int at = 0; at < static_cast<int>(of.operators.size()); ++at)
        {
            act(of, at);
        }
        for (int at = 0; at < static_cast<int>(of.processes.size()); ++at)
        {
            act_process(of, at);
        }
        for (auto const& process : of.processes)
        {
            if (process.is_entry)
            {
                check_withdrawals(of, process);
            }
        }
        check_versions(of);
    }
}

} // namespace gooseberrywood::test
