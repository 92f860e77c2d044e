#ifndef GOOSEBERRYWOOD_CONFIG_APPLY_ROUND_HPP
#define GOOSEBERRYWOOD_CONFIG_APPLY_ROUND_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "config/apply_outcome.hpp"
#include "config/apply_phase.hpp"
#include "config/intent.hpp"
#include "config/peer_frame.hpp"
#include "config/record.hpp"
#include "config/witness.hpp"
#include "config/write_answer.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief Time after the write in which processes are expected to take the version into effect
/// (invariant 17).
inline constexpr base::duration in_force_target = std::chrono::seconds(10);

/// \ingroup config
/// \brief Time for the whole command up to the write, with all repetitions.
inline constexpr base::duration apply_limit = std::chrono::seconds(60);

/// \ingroup config
/// \brief Makes the new record from the one in the store; its version is set by the caller.
using change_function = std::function<base::result<record>(record const& current)>;

/// \ingroup config
/// \brief The operator's side of one change, as a state machine.
///
/// The caller acts on `phase` whenever `step` has risen, and passes on what happens.
struct apply_round
{
    /// Names this round; it must differ from that of any other command.
    std::string announcer;
    change_function change;
    /// The version that the store must hold; without it any.
    std::optional<std::uint64_t> expected_version;
    /// All processes of the platform's host list, and the agents among them.
    std::vector<std::string> processes;
    std::vector<witness> agents;

    apply_phase phase = apply_phase::reading;
    /// Rises with each phase that is entered, also when the same one is entered again.
    std::uint64_t step = 0;
    std::uint64_t base_version = 0;
    record proposed;
    std::uint64_t proposed_hash = 0;
    /// The encoded delta from the record that is replaced.
    std::string content;
    /// The failure domains of the bundle that is replaced: processes that still have it judge their
    /// freshness by these.
    std::vector<std::string> domains;
    std::set<std::string, std::less<>> acknowledged_by;
    std::map<std::string, std::uint64_t, std::less<>> versions;
    base::mono_time announce_until{};
    base::mono_time write_until{};
    base::mono_time wait_until{};
    base::mono_time give_up_at{};
    /// A write whose answer was lost may still be carried out.
    bool may_be_written = false;
    apply_outcome outcome;
};

/// \brief Starts a round: its phase is `reading`.
[[nodiscard]] apply_round start_round(std::string announcer, change_function change,
                                      std::span<std::string const> processes,
                                      std::span<witness const> agents, base::mono_time now);

/// \brief Passes on the record read in `reading` or `reading_back`.
/// \param held what the store holds; empty if it holds nothing; an error if it did not answer.
/// \param bundle_domains the failure domains of the bundle in `held`, or for a first record those
/// of the new bundle. After an error the phase is entered again; wait a little before reading.
void store_read(apply_round& of, base::result<std::optional<record>> const& held,
                std::span<std::string const> bundle_domains, base::mono_time now);

/// \brief Passes on the answer to the write.
void store_written(apply_round& of, write_answer answer, base::mono_time now);

/// \brief Passes on a process's answer to `intent_of`, which returns it.
void acknowledged(apply_round& of, std::string_view host, intent const& said, base::mono_time now);

/// \brief Passes on the version in a frame.
void heard(apply_round& of, peer_frame const& frame, base::mono_time now);

/// \brief Ends phases whose deadline has passed; call it a few times a second.
void tick(apply_round& of, base::mono_time now);

/// \brief What to announce; after a round that wrote nothing, its withdrawal.
[[nodiscard]] intent intent_of(apply_round const& of);

/// \brief Failure domains in which enough agents have acknowledged.
[[nodiscard]] std::size_t announced_domains(apply_round const& of);

} // namespace gooseberrywood::config

#endif
