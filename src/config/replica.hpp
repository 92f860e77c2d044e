#ifndef GOOSEBERRYWOOD_CONFIG_REPLICA_HPP
#define GOOSEBERRYWOOD_CONFIG_REPLICA_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "config/announcements.hpp"
#include "config/freshness.hpp"
#include "config/head.hpp"
#include "config/history.hpp"
#include "config/in_force.hpp"
#include "config/intent.hpp"
#include "config/peer_frame.hpp"
#include "config/record.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief All that a process keeps about the configuration, as one piece, so that the order in
/// which the parts learn of an event is the same in entries and agents.
struct replica
{
    wire::peer_role role = wire::peer_role::agent;
    in_force current;
    history past;
    /// Used by agents only.
    config::announcements announcements;
    /// Used by entries only.
    config::freshness freshness;
};

/// \ingroup config
/// \brief The answer to a `config_request`, to be sent in this order.
struct request_answer
{
    /// Contents of `config_content` frames.
    std::vector<std::string> contents;
    /// Announcements to be sent as `config_intent` frames.
    std::vector<intent> announcements;
};

/// \brief Starts without a configuration and without memory.
/// \param role `entry` or `agent`.
[[nodiscard]] replica start_replica(wire::peer_role role, verify_function verify,
                                    base::mono_time now);

/// \brief Offers a record from the data folder or a bundle file.
/// \returns as `offer` of `in_force`.
[[nodiscard]] base::result<bool> offer(replica& of, record const& offered, base::mono_time now);

/// \brief Uses the content of a `config_content` frame, a record or a delta.
/// \returns as `offer` of `in_force`, or `bundle_invalid` when the content is malformed.
[[nodiscard]] base::result<bool> receive_content(replica& of, std::string_view content,
                                                 base::mono_time now);

/// \brief Uses what each received frame says, before its body. It may bring an announced change
/// into effect.
/// \returns true when a version came into effect.
bool receive_frame(replica& of, peer_frame const& frame, base::mono_time now);

/// \brief Uses a `config_intent`. The agent or entry returns it without its content to an operator.
void receive_intent(replica& of, intent const& said, base::mono_time now);

/// \brief Uses the head in the store, which an entry reads each `store_poll_interval`.
/// \param held the head; empty if the store holds none.
/// \param asked_at when the call was sent.
/// \returns the key of the record to read when neither the head's delta nor an announced one leads
/// to its version; pass the record to `receive_store`.
[[nodiscard]] std::optional<std::string> receive_head(replica& of, std::optional<head> const& held,
                                                      base::mono_time asked_at,
                                                      base::mono_time now);

/// \brief Uses the record in the store.
/// \param held the record in the store; empty if it holds none.
/// \param asked_at when the call was sent.
/// \returns as `offer` of `in_force`; a record that is refused does not come into effect, and the
/// store's word then counts for the version in effect.
[[nodiscard]] base::result<bool> receive_store(replica& of, std::optional<record> const& held,
                                               base::mono_time asked_at, base::mono_time now);

/// \brief Whom to ask for a newer configuration or an unknown announcement, if anybody.
[[nodiscard]] std::optional<due_request> next_request(replica& of, base::mono_time now);

/// \brief The answer to a peer that has some version; empty without a configuration.
[[nodiscard]] request_answer answer(replica const& of, std::uint64_t above_version);

/// \brief What each sent frame says, apart from host, domain and times.
[[nodiscard]] peer_frame outgoing(replica const& of, base::mono_time now);

} // namespace gooseberrywood::config

#endif
