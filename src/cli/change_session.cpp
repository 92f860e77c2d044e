#include "cli/change_session.hpp"

#include "bundle/parse.hpp"
#include "entry/platform_watch.hpp"
#include "process/configuration.hpp"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <utility>

namespace gooseberrywood::cli::detail
{

namespace
{

using config::apply_phase;
using weak_session = std::weak_ptr<change_session>;

constexpr base::duration tick_interval = std::chrono::milliseconds(100);

// A read that takes longer is repeated; the whole command has `config::apply_limit`.
constexpr base::duration read_timeout = std::chrono::seconds(2);

// Pause after a failed read, so that a store that returns is not met by a burst of calls.
constexpr base::duration read_pause = std::chrono::milliseconds(500);

void act(std::shared_ptr<change_session> const& self);

std::uint64_t random_number()
{
    std::uint64_t number = 0;
    randombytes_buf(&number, sizeof number);
    return number;
}

wire::hello make_hello(settings::process_settings const& settings)
{
    wire::hello own;
    own.role = wire::peer_role::operator_tool;
    own.host = settings.host;
    own.domain = settings.domain;
    own.incarnation = random_number();
    own.started_at = base::wall_now();
    return own;
}

std::vector<std::string> domains_of(change_session const& self, config::record const& held)
{
    if (held.version != 0)
    {
        if (auto parsed = bundle::parse(held.bundle_text, "stored bundle"))
        {
            return std::move(parsed->domains);
        }
    }
    return self.first_domains;
}

base::result<std::optional<config::record>>
to_record(base::result<provider::versioned_value> const& answer)
{
    if (!answer)
    {
        return tl::unexpected(answer.error());
    }
    if (answer->revision == 0)
    {
        return std::optional<config::record>();
    }
    return config::decode_record(answer->value)
        .map([](config::record&& held) { return std::optional(std::move(held)); });
}

void use_answer(std::shared_ptr<change_session> const& self,
                base::result<provider::versioned_value> const& answer)
{
    auto const held = to_record(answer);
    if (!held)
    {
        self->progress(fmt::format("the configuration can't be read: {}", held.error().message));
        config::store_read(self->round, held, {}, base::mono_now());
        // The phase is entered again; `act` would read at once.
        self->handled_step = self->round.step;
        if (self->round.phase == apply_phase::finished)
        {
            return;
        }
        self->read_again = base::at(base::mono_now() + read_pause,
                                    [weak = weak_session(self)]
                                    {
                                        if (auto const again = weak.lock())
                                        {
                                            again->handled_step = 0;
                                            act(again);
                                        }
                                    });
        return;
    }
    self->revision = answer->revision;
    auto const domains = domains_of(*self, held->value_or(config::record{}));
    config::store_read(self->round, held, domains, base::mono_now());
    act(self);
}

void read(std::shared_ptr<change_session> const& self)
{
    self->platform.store.read(
        std::string(entry::configuration_key), base::mono_now() + read_timeout,
        [weak = weak_session(self), step = self->round.step](auto const& answer)
        {
            auto const session = weak.lock();
            // The step rises with each phase; an answer to an earlier read is of no use.
            if (session && session->round.step == step)
            {
                use_answer(session, answer);
            }
        });
}

config::write_answer to_write_answer(base::result<std::uint64_t> const& answer)
{
    if (answer)
    {
        return config::write_answer::written;
    }
    // A store that does not answer may still carry out an earlier write of this round, so only its
    // own refusals count as such.
    bool const refused = answer.error().code == base::result_code::compare_failed ||
                         answer.error().code == base::result_code::platform_refused;
    return refused ? config::write_answer::refused : config::write_answer::lost;
}

void write(std::shared_ptr<change_session> const& self)
{
    // Not an error here: the round has encoded the record before to see that it can be.
    auto const value = config::encode(self->round.proposed).value_or("");
    self->platform.store.compare_and_swap(
        std::string(entry::configuration_key), self->revision, value, self->round.write_until,
        [weak = weak_session(self), step = self->round.step](auto const& answer)
        {
            auto const session = weak.lock();
            if (!session || session->round.step != step)
            {
                return;
            }
            if (!answer)
            {
                session->progress(fmt::format("the write failed: {}", answer.error().message));
            }
            config::store_written(session->round, to_write_answer(answer), base::mono_now());
            act(session);
        });
}

void send_intent(change_session const& self, entry::agent_link const& to)
{
    auto const said = config::intent_of(self.round);
    (void)wire::send(*to.connection,
                     wire::config_intent{said.what.version, said.what.hash, said.announcer,
                                         said.withdrawn, said.content});
}

void send_intent(change_session const& self)
{
    for (auto const& link : self.links)
    {
        if (entry::is_up(*link))
        {
            send_intent(self, *link);
        }
    }
}

void announce(change_session const& self)
{
    self.progress(fmt::format("version {}: announcing to {} agents", self.round.proposed.version,
                              self.links.size()));
    send_intent(self);
}

void act(std::shared_ptr<change_session> const& self)
{
    if (self->handled_step == self->round.step)
    {
        return;
    }
    self->handled_step = self->round.step;
    auto const version = self->round.proposed.version;
    switch (self->round.phase)
    {
    case apply_phase::reading:
        read(self);
        break;
    case apply_phase::announcing:
        announce(*self);
        break;
    case apply_phase::writing:
        self->progress(fmt::format("version {}: announced in {} of {} failure domains, writing",
                                   version, config::announced_domains(self->round),
                                   self->round.domains.size()));
        write(self);
        break;
    case apply_phase::reading_back:
        self->progress(fmt::format("version {}: reading back", version));
        read(self);
        break;
    case apply_phase::waiting:
        self->progress(fmt::format("version {}: accepted, waiting for {} processes", version,
                                   self->round.processes.size()));
        break;
    case apply_phase::finished:
        if (version != 0 && config::intent_of(self->round).withdrawn)
        {
            send_intent(*self);
        }
        break;
    }
}

void note_entry(change_session& self, wire::peer_version const& entry)
{
    auto const known = self.round.versions.find(entry.host);
    // Agents hear of an entry at different times. The highest word is the latest, since a process
    // never goes back to an older version.
    if (known == self.round.versions.end() || entry.version > known->second)
    {
        config::peer_frame said;
        said.host = entry.host;
        said.version = entry.version;
        config::heard(self.round, said, base::mono_now());
    }
}

void handle(change_session& self, entry::agent_link const& from, wire::frame const& received)
{
    auto const& peer = *from.connection->peer;
    if (peer.role != wire::peer_role::agent || peer.host != from.host)
    {
        // The host list names another process under this address; its word must not count.
        return;
    }
    config::heard(self.round, process::make_peer_frame(*from.connection, received),
                  base::mono_now());
    if (std::holds_alternative<wire::hello>(received.body) &&
        self.round.phase == apply_phase::announcing)
    {
        send_intent(self, from);
    }
    else if (auto const* intent = std::get_if<wire::config_intent>(&received.body))
    {
        config::acknowledged(
            self.round, from.host,
            {{intent->version, intent->hash}, intent->announcer, intent->withdrawn, {}},
            base::mono_now());
    }
    else if (auto const* versions = std::get_if<wire::peer_versions>(&received.body))
    {
        for (auto const& entry : versions->peers)
        {
            note_entry(self, entry);
        }
    }
}

std::shared_ptr<entry::agent_link> connect(weak_session const& weak, provider::host_info const& to,
                                           wire::hello const& own)
{
    entry::link_handlers handlers;
    handlers.stamp = []
    {
        return wire::frame_stamp{};
    };
    handlers.on_lost = [](base::error const&) {
    };
    handlers.on_frame = [weak, host = to.host](wire::frame& received)
    {
        auto const self = weak.lock();
        if (!self)
        {
            return;
        }
        auto const link = std::find_if(self->links.begin(), self->links.end(),
                                       [&](auto const& one) { return one->host == host; });
        handle(*self, **link, received);
        act(self);
    };
    return entry::make_link(to.host, to.wire_address, own, std::move(handlers));
}

} // namespace

std::shared_ptr<change_session> start_session(provider::services platform, change_plan plan,
                                              std::vector<provider::host_info> const& hosts,
                                              std::function<void(std::string const&)> progress)
{
    std::vector<std::string> processes;
    std::vector<config::witness> agents;
    for (auto const& host : hosts)
    {
        processes.push_back(host.host);
        if (!host.wire_address.empty())
        {
            agents.push_back({host.host, host.domain});
        }
    }
    auto made = std::make_shared<change_session>();
    made->platform = std::move(platform);
    made->first_domains = std::move(plan.first_domains);
    made->progress = std::move(progress);
    made->round = config::start_round(fmt::format("operator-{:016x}", random_number()),
                                      std::move(plan.change), processes, agents, base::mono_now());
    made->round.expected_version = plan.expected_version;
    auto const own = make_hello(plan.settings);
    for (auto const& host : hosts)
    {
        if (!host.wire_address.empty())
        {
            made->links.push_back(connect(made, host, own));
        }
    }
    made->ticks = base::every(tick_interval,
                              [weak = weak_session(made)]
                              {
                                  if (auto const self = weak.lock())
                                  {
                                      config::tick(self->round, base::mono_now());
                                      act(self);
                                  }
                              });
    act(made);
    return made;
}

bool is_done(change_session const& of)
{
    return of.round.phase == apply_phase::finished &&
           std::none_of(of.links.begin(), of.links.end(),
                        [](auto const& link)
                        { return entry::is_up(*link) && !link->connection->unsent.empty(); });
}

std::vector<std::string> unreachable_agents(change_session const& of)
{
    std::vector<std::string> hosts;
    for (auto const& link : of.links)
    {
        if (!entry::is_up(*link))
        {
            hosts.push_back(link->host);
        }
    }
    return hosts;
}

} // namespace gooseberrywood::cli::detail
