#ifndef GOOSEBERRYWOOD_FLEET_CRASH_MARKS_HPP
#define GOOSEBERRYWOOD_FLEET_CRASH_MARKS_HPP

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Number of upstreams that a request may crash before equal requests are refused.
inline constexpr std::size_t crashes_to_refuse = 3;

/// \ingroup fleet
/// \brief The same for requests of which this process knows that upstreams have served equal ones:
/// they were mostly beside another request that crashes upstreams.
inline constexpr std::size_t crashes_to_refuse_served = 5;

/// \ingroup fleet
/// \brief How long a mark counts.
inline constexpr base::duration crash_mark_lifetime = std::chrono::minutes(10);

/// \ingroup fleet
/// \brief Names one mark: a request and an incarnation of an upstream that ended under it. Equal in
/// all processes that see the same crash.
struct crash_mark_id
{
    /// Equal for equal requests of one team, whatever their ids.
    std::uint64_t fingerprint = 0;
    /// Incarnation of the upstream; see `crash_of`.
    std::uint64_t crash = 0;

    friend auto operator<=>(crash_mark_id const&, crash_mark_id const&) = default;
};

/// \ingroup fleet
/// \brief State of a mark. It only ever advances, so that copies of a mark can be merged in any
/// order.
enum class crash_mark_state : std::uint8_t
{
    /// The request has no answer, but the upstream is not known to have ended.
    suspected,
    /// Counts against the request.
    standing,
    /// The request does not crash upstreams, or the upstream has not ended.
    withdrawn,
};

/// \ingroup fleet
/// \brief A mark as processes exchange it.
struct crash_notice
{
    crash_mark_id id;
    /// `standing` or `withdrawn`.
    crash_mark_state state = crash_mark_state::standing;
};

/// \ingroup fleet
/// \brief What the process that saw a crash knows of the upstream.
struct observed_crash
{
    std::string upstream;
    /// Incarnation; see `upstream_record::started_ms`.
    std::int64_t started_ms = 0;
    base::mono_time seen_at{};
    /// First answer of the upstream to a request that was sent after the crash was seen.
    std::optional<base::mono_time> answered_at;
};

/// \ingroup fleet
/// \brief A mark as this process knows it.
struct crash_mark
{
    crash_mark_state state = crash_mark_state::standing;
    base::mono_time expires_at{};
    /// Set when this process has seen the crash itself.
    std::optional<observed_crash> observed;
    /// The state is to be shared from this time on; absent when the others know it.
    std::optional<base::mono_time> share_at;
    /// When the store confirmed the last state that this process shared.
    std::optional<base::mono_time> stored_at;
    /// Other processes may know the mark.
    bool is_shared = false;
    /// Number of times that its state was passed on without a confirmation of the store.
    std::uint32_t unconfirmed_shares = 0;
};

/// \ingroup fleet
/// \brief Requests under which upstreams ended, from this process and from others.
struct crash_marks
{
    std::map<crash_mark_id, crash_mark> by_id;
    /// Marks that this process has observed and that the next lists of upstreams decide about, by
    /// upstream.
    std::map<std::string, std::set<crash_mark_id>, std::less<>> undecided;
    /// Marks with `crash_mark::share_at`.
    std::set<crash_mark_id> unshared;
    /// Fingerprints of the requests that upstreams have served last.
    std::set<std::uint64_t> served;
    /// The same in the order in which they were served first.
    std::deque<std::uint64_t> served_order;
};

/// \ingroup fleet
/// \brief State of an incarnation in the list of upstreams.
enum class incarnation_state : std::uint8_t
{
    listed,
    /// Listed, but about to leave, so that its end is no crash.
    leaving,
    /// Not listed, perhaps because its entry expired while the store was unavailable.
    missing,
    gone,
};

/// \ingroup fleet
/// \brief Number of the end of an incarnation, for `crash_mark_id::crash`.
/// \param number counts the marks of the incarnation that were withdrawn before, so that these do
/// not hide its true end.
[[nodiscard]] std::uint64_t crash_of(std::string_view upstream, std::int64_t started_ms,
                                     std::uint32_t number = 0);

/// \ingroup fleet
/// \brief Records that an upstream's connection broke under a request that it had been sent and had
/// not answered.
void note_broken_run(crash_marks& marks, std::uint64_t fingerprint, std::string_view upstream,
                     std::int64_t started_ms, base::mono_time now);

/// \ingroup fleet
/// \brief Records that a request ended without an answer while its connection still stood. It
/// counts if a list of the next ten seconds shows that the upstream has ended.
void note_unanswered_run(crash_marks& marks, std::uint64_t fingerprint, std::string_view upstream,
                         std::int64_t started_ms, base::mono_time now);

/// \ingroup fleet
/// \brief Withdraws all marks of a request, and remembers it: an upstream has served it.
void note_answered_request(crash_marks& marks, std::uint64_t fingerprint, base::mono_time now);

/// \ingroup fleet
/// \brief Records that an upstream has answered a request, whichever.
/// \param sent_at when that request was sent.
void note_upstream_alive(crash_marks& marks, std::string_view upstream, base::mono_time sent_at,
                         base::mono_time now);

/// \ingroup fleet
/// \brief Compares the marks with a new list of upstreams: an incarnation that is gone has crashed,
/// one that is still listed after it has answered again has not.
/// \param read_at when the read of the list was sent.
/// \param state_of what the list says about an incarnation.
void review_crash_marks(crash_marks& marks,
                        std::function<incarnation_state(std::string_view upstream,
                                                        std::int64_t started_ms)> const& state_of,
                        base::mono_time read_at, base::mono_time now);

/// \ingroup fleet
/// \brief Number of upstreams that are held to have ended under equal requests.
[[nodiscard]] std::size_t count_crashes(crash_marks const& marks, std::uint64_t fingerprint,
                                        base::mono_time now);

/// \ingroup fleet
/// \brief Until when equal requests are refused; absent when they are not.
[[nodiscard]] std::optional<base::mono_time>
refused_until(crash_marks const& marks, std::uint64_t fingerprint, base::mono_time now);

/// \ingroup fleet
/// \brief Marks that are to be shared now. They count as being shared: none is returned again
/// before `retry_at`. \param max_count maximum number of marks; the others are returned by the next
/// call.
[[nodiscard]] std::vector<crash_notice> take_marks_to_share(crash_marks& marks,
                                                            std::size_t max_count,
                                                            base::mono_time retry_at,
                                                            base::mono_time now);

/// \ingroup fleet
/// \brief Whether a mark that the store has not confirmed is to be sent to the other processes
/// directly: after the first, the second, the fourth try and so on.
[[nodiscard]] bool is_sent_directly(crash_marks const& marks, crash_mark_id const& id);

/// \ingroup fleet
/// \brief When the next mark is to be shared; absent when there is none.
[[nodiscard]] std::optional<base::mono_time> next_share_at(crash_marks const& marks);

/// \ingroup fleet
/// \brief Records that the store has confirmed a notice.
void note_stored(crash_marks& marks, crash_notice const& notice, base::mono_time now);

/// \ingroup fleet
/// \brief Applies a notice of another process.
void apply_notice(crash_marks& marks, crash_notice const& notice, base::mono_time now);

/// \ingroup fleet
/// \brief Applies the notices in the store. What this process has stored is shared again when the
/// store has lost it, as when leases ran out, or when a late write has taken a withdrawal back.
/// \param read_at when the read was sent.
void apply_stored_notices(crash_marks& marks, std::span<crash_notice const> stored,
                          base::mono_time read_at, base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
