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

void keep(configuration const& of)
{
    if (of.file.empty())
    {
        return;
    }
    auto const text = config::encode(*of.in_force.current);
    auto const failure =
        text ? base::replace_file(of.file, *text) : std::optional<base::error>(text.error());
    if (failure)
    {
        base::log_line(
            base::log_level::warning, "configuration_not_kept",
            {{"file", std::string_view(of.file)}, {"message", std::string_view(failure->message)}});
    }
}

// Parsed once more here: the verify function only tells what the configuration module needs.
void take_over(configuration& of, std::string_view from)
{
    auto const& record = *of.in_force.current;
    auto parsed = bundle::parse(record.bundle_text, "bundle");
    if (!parsed)
    {
        // Not reached: the record was verified, which includes parsing it.
        return;
    }
    auto const before = std::exchange(of.bundle, std::move(*parsed));
    of.domains_out = record.domains_out;
    base::log_line(base::log_level::info, "configuration_in_effect",
                   {{"version", static_cast<std::int64_t>(record.version)}, {"from", from}});
    if (of.on_change)
    {
        of.on_change(before);
    }
}

template <class Update>
base::result<bool> offer_update(configuration& of, Update const& update, std::string_view from)
{
    auto const before = of.in_force.current;
    auto taken = config::offer(of.in_force, update, base::mono_now());
    if (!taken)
    {
        base::log_line(base::log_level::warning, "configuration_refused",
                       {{"from", from},
                        {"code", taken.error().code},
                        {"message", std::string_view(taken.error().message)}});
        return taken;
    }
    if (*taken)
    {
        if (before)
        {
            config::changed(of.history, *before, *of.in_force.current);
        }
        keep(of);
        take_over(of, from);
    }
    return taken;
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
                              "the bundle's signature does not verify");
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
    configuration made;
    made.in_force = config::start_in_force(make_verify(settings.bundle_public_key));
    if (settings.data_folder.empty())
    {
        return made;
    }
    made.file = fmt::format("{}/{}", settings.data_folder, record_file_name);
    auto const text = base::read_file(made.file);
    if (text)
    {
        auto const record = config::decode_record(*text);
        if (record)
        {
            (void)offer(made, *record, "data folder");
        }
    }
    return made;
}

void use_bundle_file(configuration& of, bundle::bundle bundle)
{
    of.bundle = std::move(bundle);
}

void offer(configuration& of, std::string_view content, std::string_view from)
{
    auto const update = config::decode_update(content);
    if (!update)
    {
        base::log_line(base::log_level::warning, "configuration_malformed",
                       {{"from", from}, {"message", std::string_view(update.error().message)}});
        return;
    }
    std::visit([&](auto const& one) { (void)offer_update(of, one, from); }, *update);
}

base::result<bool> offer(configuration& of, config::record const& record, std::string_view from)
{
    return offer_update(of, record, from);
}

std::uint64_t version(configuration const& of)
{
    return of.in_force.current ? config::version(of.in_force) : of.bundle.version;
}

config::peer_frame make_peer_frame(wire::connection const& from, wire::frame const& received)
{
    config::peer_frame out;
    out.host = from.peer->host;
    out.domain = from.peer->domain;
    out.version = received.stamp.config_version;
    for (auto const& change : received.stamp.announced)
    {
        out.announced.push_back({change.version, change.hash});
    }
    constexpr auto highest = static_cast<std::uint8_t>(config::standing::fresh);
    out.sender = received.stamp.standing <= highest
                     ? static_cast<config::standing>(received.stamp.standing)
                     : config::standing::none;
    out.sent_after = from.times.sent_after;
    return out;
}

config::intent to_intent(wire::config_intent const& message)
{
    return {{message.version, message.hash}, message.announcer, message.withdrawn, message.content};
}

void answer(configuration const& of, wire::connection& to, wire::config_request const& request)
{
    if (!of.in_force.current)
    {
        return;
    }
    auto const contents = config::answer(of.history, *of.in_force.current, request.above_version);
    if (!contents)
    {
        return;
    }
    for (auto const& content : *contents)
    {
        (void)wire::send(to, wire::config_content{content});
    }
}

} // namespace gooseberrywood::process
