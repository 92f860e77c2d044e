#ifndef GOOSEBERRYWOOD_PROCESS_CONFIGURATION_HPP
#define GOOSEBERRYWOOD_PROCESS_CONFIGURATION_HPP

#include "base/result.hpp"
#include "bundle/bundle.hpp"
#include "config/history.hpp"
#include "config/in_force.hpp"
#include "config/intent.hpp"
#include "config/peer_frame.hpp"
#include "settings/process_settings.hpp"
#include "wire/connection.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::process
{

/// \ingroup process
/// \brief The configuration that a process uses, in the forms that the process needs.
struct configuration
{
    config::in_force in_force;
    /// Answers peers that are behind.
    config::history history;
    bundle::bundle bundle;
    std::vector<std::string> domains_out;
    /// Where the last record is kept; empty on hosts without a data folder.
    std::string file;
    /// Called after another configuration has come into effect.
    std::function<void(bundle::bundle const& before)> on_change;
};

/// \ingroup process
/// \brief The function by which records are checked: signature, then the bundle's rules.
/// \param public_key the operators' key, 64 hexadecimal digits.
[[nodiscard]] config::verify_function make_verify(std::string public_key);

/// \ingroup process
/// \brief Starts with the record in the data folder, if there is a valid one.
[[nodiscard]] configuration start_configuration(settings::process_settings const& settings);

/// \ingroup process
/// \brief Takes a bundle file into effect as version of its own, without a platform.
void use_bundle_file(configuration& of, bundle::bundle bundle);

/// \ingroup process
/// \brief Takes the content of a `config_content` frame into effect if it is newer and valid.
void offer(configuration& of, std::string_view content, std::string_view from);

/// \ingroup process
/// \brief Takes a record into effect if it is newer and valid.
/// \returns as `config::offer`.
base::result<bool> offer(configuration& of, config::record const& record, std::string_view from);

/// \ingroup process
/// \brief The version in effect; with a bundle file the bundle's version.
[[nodiscard]] std::uint64_t version(configuration const& of);

/// \ingroup process
/// \brief What a received frame says about the configuration.
[[nodiscard]] config::peer_frame make_peer_frame(wire::connection const& from,
                                                 wire::frame const& received);

/// \ingroup process
/// \brief What an operator announced, as received in a frame.
[[nodiscard]] config::intent to_intent(wire::config_intent const& message);

/// \ingroup process
/// \brief Answers a `config_request`.
void answer(configuration const& of, wire::connection& to, wire::config_request const& request);

} // namespace gooseberrywood::process

#endif
