#include "entry/platform_watch.hpp"

#include "base/log.hpp"
#include "config/timing.hpp"
#include "entry/agents.hpp"
#include "entry/configuration.hpp"
#include "provider/http_services.hpp"

#include <algorithm>

namespace gooseberrywood::entry
{

namespace
{

// The list lags anyway; a leaving host must be known within the 5 s in which it still gets work.
constexpr base::duration host_list_interval = std::chrono::seconds(1);

constexpr base::duration platform_timeout = std::chrono::seconds(2);

// Pause after a failed call, so that a store that returns is not met by a burst of calls.
constexpr base::duration store_retry_interval = std::chrono::milliseconds(500);

using weak_life = std::weak_ptr<int>;

void watch_store(entry_process& entry);

void watch_store_later(entry_process& entry, base::duration wait)
{
    entry.store_timer = base::at(base::mono_now() + wait, [&entry] { watch_store(entry); });
}

void note_store_record(entry_process& entry, provider::versioned_value const& held,
                       base::mono_time asked_at)
{
    entry.store_revision = held.revision;
    if (held.revision == 0)
    {
        return;
    }
    auto const record = config::decode_record(held.value);
    auto const own = process::version(entry.configuration);
    if (!record)
    {
        base::log_line(base::log_level::error, "stored_configuration_malformed",
                       {{"message", std::string_view(record.error().message)}});
        config::store_word(entry.freshness, own, asked_at);
        return;
    }
    auto const taken = process::offer(entry.configuration, *record, "store");
    bool const usable = taken || taken.error().code == base::result_code::version_too_old;
    // A record that nobody takes into effect must not stop the service.
    config::store_word(entry.freshness,
                       usable ? std::max(record->version, process::version(entry.configuration))
                              : process::version(entry.configuration),
                       asked_at);
}

void on_store_answer(entry_process& entry, base::result<provider::versioned_value> const& answer,
                     base::mono_time asked_at)
{
    if (answer)
    {
        entry.store_answers = true;
        note_store_record(entry, *answer, asked_at);
    }
    else if (answer.error().code == base::result_code::timeout)
    {
        // Nothing above the known revision when the watch began: as good as a read.
        entry.store_answers = true;
        config::store_word(entry.freshness, process::version(entry.configuration), asked_at);
    }
    else
    {
        if (entry.store_answers)
        {
            base::log_line(base::log_level::warning, "store_unavailable",
                           {{"code", answer.error().code},
                            {"message", std::string_view(answer.error().message)}});
        }
        entry.store_answers = false;
        watch_store_later(entry, store_retry_interval);
        return;
    }
    check_freshness(entry);
    watch_store_later(entry, {});
}

void watch_store(entry_process& entry)
{
    auto const asked_at = base::mono_now();
    entry.platform->store.watch(std::string(configuration_key), entry.store_revision,
                                asked_at + config::store_poll_interval,
                                [&entry, life = weak_life(entry.life), asked_at](auto const& answer)
                                {
                                    if (!life.expired())
                                    {
                                        on_store_answer(entry, answer, asked_at);
                                    }
                                });
}

void use_host_list(entry_process& entry, std::vector<provider::host_info> const& hosts)
{
    std::vector<std::string> leaving;
    entry.witnesses.clear();
    entry.claim_homes.clear();
    for (auto const& host : hosts)
    {
        if (host.wire_address.empty())
        {
            continue;
        }
        if (host.leaving)
        {
            leaving.push_back(host.host);
        }
        entry.witnesses.push_back({host.host, host.domain});
        entry.claim_homes.push_back(routing::make_claim_home(host.host, host.domain));
        add_agent(entry, host.host, host.wire_address);
    }
    entry.hosts_leaving = leaving;
    routing::set_hosts_leaving(entry.upstreams, leaving);
    config::set_witnesses(entry.freshness, entry.configuration.bundle.domains, entry.witnesses);
    remove_unlisted_agents(entry);
}

void read_hosts(entry_process& entry)
{
    entry.platform->hosts.read(base::mono_now() + platform_timeout,
                               [&entry, life = weak_life(entry.life)](auto const& answer)
                               {
                                   if (life.expired())
                                   {
                                       return;
                                   }
                                   if (answer)
                                   {
                                       use_host_list(entry, *answer);
                                   }
                                   entry.hosts_timer =
                                       base::at(base::mono_now() + host_list_interval,
                                                [&entry] { read_hosts(entry); });
                               });
}

} // namespace

base::result<void> start_platform(entry_process& entry)
{
    entry.configuration = process::start_configuration(entry.settings);
    entry.configuration.on_change = [&entry](bundle::bundle const&)
    {
        apply_configuration(entry);
    };
    if (entry.settings.platform_url.empty())
    {
        return {};
    }
    auto services = provider::make_http_services(entry.settings.platform_url);
    if (!services)
    {
        return tl::unexpected(services.error());
    }
    entry.platform = std::move(*services);
    entry.serving = config::serving_state::stopped;
    if (entry.configuration.in_force.current)
    {
        apply_configuration(entry);
    }
    watch_store(entry);
    read_hosts(entry);
    constexpr base::duration check_interval = std::chrono::milliseconds(200);
    entry.freshness_timer = base::every(check_interval, [&entry] { check_freshness(entry); });
    return {};
}

} // namespace gooseberrywood::entry
