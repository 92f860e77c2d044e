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
/// \brief Configuration of a process, with its parsed bundle and the domains taken out.
struct configuration
{
    config::in_force in_force;
    /// Recent changes, sent to peers with an older configuration.
    config::history history;
    bundle::bundle bundle;
    std::vector<std::string> domains_out;
    /// File that stores the last record; empty on hosts without a data folder.
    std::string file;
    /// Called after a new configuration has come into effect, with the previous bundle.
    std::function<void(bundle::bundle const& previous)> on_change;
};

/// \ingroup process
/// \brief Makes the function that checks a record's signature, then parses its bundle.
/// \param public_key public key of the operators, 64 hexadecimal digits.
[[nodiscard]] config::verify_function make_verify(std::string public_key);

/// \ingroup process
/// \brief Makes the configuration and loads the record in the data folder if it is valid.
[[nodiscard]] configuration start_configuration(settings::process_settings const& settings);

/// \ingroup process
/// \brief Uses the bundle of a bundle file, with its own version, without a platform.
void use_bundle_file(configuration& config_state, bundle::bundle bundle);

/// \ingroup process
/// \brief Applies the content of a `config_content` frame if it is newer and valid.
void offer(configuration& config_state, std::string_view content, std::string_view source);

/// \ingroup process
/// \brief Applies a record if it is newer and valid.
/// \returns the result of `config::offer`.
base::result<bool> offer(configuration& config_state, config::record const& record,
                         std::string_view source);

/// \ingroup process
/// \brief Returns the version in effect; with a bundle file, the version of the bundle.
[[nodiscard]] std::uint64_t version(configuration const& config_state);

/// \ingroup process
/// \brief Extracts the sender's configuration state from a received frame.
[[nodiscard]] config::peer_frame make_peer_frame(wire::connection const& sender,
                                                 wire::frame const& received);

/// \ingroup process
/// \brief Converts an operator's announced change from its wire message.
[[nodiscard]] config::intent to_intent(wire::config_intent const& message);

/// \ingroup process
/// \brief Answers a `config_request` with the changes above the requested version.
void answer(configuration const& config_state, wire::connection& peer,
            wire::config_request const& request);

} // namespace gooseberrywood::process

#endif
