#ifndef GOOSEBERRYWOOD_CONFIG_IN_FORCE_HPP
#define GOOSEBERRYWOOD_CONFIG_IN_FORCE_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "config/delta.hpp"
#include "config/intent.hpp"
#include "config/peer_frame.hpp"
#include "config/record.hpp"
#include "config/signed_bundle.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief The configuration that a process uses, and what it knows of newer ones.
struct in_force
{
    verify_function verify;
    /// Empty until the first record is accepted.
    std::optional<record> current;
    std::uint64_t current_hash = 0;
    /// What the signed text of `current` states.
    signed_bundle bundle;
    /// The version that each connected peer has in effect.
    std::map<std::string, std::uint64_t, std::less<>> peer_versions;
    /// Until then the answer to the last request is awaited.
    base::mono_time asked_until{};
    /// Counts requests, so that each repetition goes to another peer.
    std::uint64_t requests = 0;
    /// Set when a delta did not fit; the next request asks for the whole record.
    bool want_whole = false;
};

/// \ingroup config
/// \brief A request for the configuration that is due.
struct due_request
{
    std::string host;
    /// 0 asks for the whole record.
    std::uint64_t above_version = 0;
};

/// \brief Starts without a configuration.
/// \param verify checks each bundle before it comes into effect.
[[nodiscard]] in_force start_in_force(verify_function verify);

/// \brief The version in effect; 0 if none.
[[nodiscard]] std::uint64_t version(in_force const& of);

/// \brief Takes a record into effect if it is newer and its signature is right.
/// \param offered a record from the store, a peer or the data folder.
/// \returns true when it came into effect, false when it already was in effect; `version_too_old`
/// for an older record or an older signed text, `version_conflict` for other content under the
/// version in effect, `signature_invalid` or what `verify` returned.
[[nodiscard]] base::result<bool> offer(in_force& of, record const& offered, base::mono_time now);

/// \brief Applies a delta to the record in effect and takes the result into effect.
/// \returns as for a record; after an error other than `version_too_old` the next request asks for
/// the whole record.
[[nodiscard]] base::result<bool> offer(in_force& of, delta const& offered, base::mono_time now);

/// \brief Takes an announced change into effect that a peer's frame states to be in effect there.
/// The delta came with the announcement, so that nothing has to be asked for.
/// \param said the announcement of the frame's version and hash.
/// \returns as for a delta; false when the change starts from another version than the one in
/// effect.
[[nodiscard]] base::result<bool> offer(in_force& of, intent const& said, base::mono_time now);

/// \brief Notes the version that a peer states in a frame.
void heard(in_force& of, peer_frame const& frame);

/// \brief Forgets a peer whose connection has ended.
void disconnected(in_force& of, std::string_view host);

/// \brief The highest version in effect at a peer or here.
[[nodiscard]] std::uint64_t highest_known(in_force const& of);

/// \brief Whom to ask for a newer configuration, if anybody. At most one request waits at a time.
[[nodiscard]] std::optional<due_request> next_request(in_force& of, base::mono_time now);

} // namespace gooseberrywood::config

#endif
