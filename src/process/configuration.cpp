#include "process/configuration.hpp"

#include "base/file.hpp"
#include "base/log.hpp"
#include "bundle/parse.hpp"
#include "bundle/signature.hpp"
#include "config/delta.hpp"

#include <fmt/format.h>

#include <utility>

namespace gooseberrywood::process
{

namespace
{

constexpr std::string_view record_file_name = "configuration.json";

void store_record(configuration const& config_state)
{
    if (config_state.file.empty())
    {
        return;
    }
    auto const text = config::encode(*config_state.in_force.current);
    auto const failure = text ? base::replace_file(config_state.file, *text)
                              : std::optional<base::error>(text.error());
    if (failure)
    {
        base::log_line(base::log_level::warning, "configuration_not_kept",
                       {{"file", std::string_view(config_state.file)},
                        {"message", std::string_view(failure->message)}});
    }
}

// Parses the bundle again: the verify function returns only its version and domains.
void put_into_effect(configuration& config_state, std::string_view source)
{
    auto const& record = *config_state.in_force.current;
    auto parsed = bundle::parse(record.bundle_text, "bundle");
    if (!parsed)
    {
        // Unreachable: verification has already parsed this record.
        return;
    }
    auto const previous = std::exchange(config_state.bundle, std::move(*parsed));
    config_state.domains_out = record.domains_out;
    base::log_line(base::log_level::info, "configuration_in_effect",
                   {{"version", static_cast<std::int64_t>(record.version)}, {"from", source}});
    if (config_state.on_change)
    {
        config_state.on_change(previous);
    }
}

template <class Update>
base::result<bool> offer_update(configuration& config_state, Update const& update,
                                std::string_view source)
{
    auto const previous = config_state.in_force.current;
    auto applied = config::offer(config_state.in_force, update, base::mono_now());
    if (!applied)
    {
        base::log_line(base::log_level::warning, "configuration_refused",
                       {{"from", source},
                        {"code", applied.error().code},
                        {"message", std::string_view(applied.error().message)}});
        return applied;
    }
    if (*applied)
    {
        if (previous)
        {
            config::changed(config_state.history, *previous, *config_state.in_force.current);
        }
        store_record(config_state);
        put_into_effect(config_state, source);
    }
    return applied;
}

} // namespace

config::verify_function make_verify(std::string public_key)
{
    return [public_key = std::move(public_key)](
               std::string_view text,
               std::string_view signature) -> base::result<config::signed_bundle>
    {
        if (!bundle::verify(text, signature, public_key))
        {
            return base::fail(base::result_code::signature_invalid,
                              "the bundle's signature does not match its text and the public key");
        }
        auto const parsed = bundle::parse(text, "bundle");
        if (!parsed)
        {
            return tl::unexpected(parsed.error());
        }
        return config::signed_bundle{parsed->version, parsed->domains};
    };
}

configuration start_configuration(settings::process_settings const& settings)
{
    configuration result;
    result.in_force = config::start_in_force(make_verify(settings.bundle_public_key));
    if (settings.data_folder.empty())
    {
        return result;
    }
    result.file = fmt::format("{}/{}", settings.data_folder, record_file_name);
    auto const text = base::read_file(result.file);
    if (text)
    {
        auto const record = config::decode_record(*text);
        if (record)
        {
            (void)offer(result, *record, "data folder");
        }
    }
    return result;
}

void use_bundle_file(configuration& config_state, bundle::bundle bundle)
{
    config_state.bundle = std::move(bundle);
}

void offer(configuration& config_state, std::string_view content, std::string_view source)
{
    auto const update = config::decode_update(content);
    if (!update)
    {
        base::log_line(base::log_level::warning, "configuration_malformed",
                       {{"from", source}, {"message", std::string_view(update.error().message)}});
        return;
    }
    std::visit([&](auto const& decoded) { (void)offer_update(config_state, decoded, source); },
               *update);
}

base::result<bool> offer(configuration& config_state, config::record const& record,
                         std::string_view source)
{
    return offer_update(config_state, record, source);
}

std::uint64_t version(configuration const& config_state)
{
    return config_state.in_force.current ? config::version(config_state.in_force)
                                         : config_state.bundle.version;
}

config::peer_frame make_peer_frame(wire::connection const& sender, wire::frame const& received)
{
    config::peer_frame result;
    result.host = sender.peer->host;
    result.domain = sender.peer->domain;
    result.version = received.stamp.config_version;
    for (auto const& change : received.stamp.announced)
    {
        result.announced.push_back({change.version, change.hash});
    }
    constexpr auto max_standing = static_cast<std::uint8_t>(config::standing::fresh);
    result.sender = received.stamp.standing <= max_standing
                        ? static_cast<config::standing>(received.stamp.standing)
                        : config::standing::none;
    result.sent_after = sender.times.sent_after;
    return result;
}

config::intent to_intent(wire::config_intent const& message)
{
    return {{message.version, message.hash}, message.announcer, message.withdrawn, message.content};
}

void answer(configuration const& config_state, wire::connection& peer,
            wire::config_request const& request)
{
    if (!config_state.in_force.current)
    {
        return;
    }
    auto const contents =
        config::answer(config_state.history, *config_state.in_force.current, request.above_version);
    if (!contents)
    {
        return;
    }
    for (auto const& content : *contents)
    {
        (void)wire::send(peer, wire::config_content{content});
    }
}

} // namespace gooseberrywood::process
