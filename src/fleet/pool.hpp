#ifndef GOOSEBERRYWOOD_FLEET_POOL_HPP
#define GOOSEBERRYWOOD_FLEET_POOL_HPP

#include "base/time.hpp"
#include "fleet/upstream.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief The model that each upstream serves, by the id of the upstream.
using model_shares = std::map<std::string, std::string, std::less<>>;

/// \ingroup fleet
/// \brief All upstreams that this process may use, by id.
struct pool
{
    std::map<std::string, upstream, std::less<>> upstreams;
    /// Models without an upstream here may use any.
    model_shares shares;
    /// Failure domains that get no work.
    std::set<std::string, std::less<>> domains_out;
    /// Processes that share the budget of a cold upstream; at least 1.
    std::uint32_t sharing_processes = 1;
    /// Until then an upstream that is missing in the list is kept: its entry may have lapsed while
    /// the store was away.
    base::mono_time keep_missing_until{};
};

/// \ingroup fleet
/// \brief What changed when a list was taken over; for the log.
struct pool_change
{
    std::vector<std::string> added;
    std::vector<std::string> removed;
    std::vector<std::string> draining;
};

/// \ingroup fleet
/// \brief Takes over the list of upstreams.
/// \param listed all upstreams that the store has entries of.
pool_change apply_list(pool& to, std::span<upstream_record const> listed, base::mono_time now);

/// \ingroup fleet
/// \brief Notes what an answer says about the weights of an upstream. Versions only grow within an
/// incarnation.
void note_weights(pool& in, std::string_view id, std::string_view model, std::uint32_t version);

/// \ingroup fleet
/// \brief An upstream was ordered to load weights; it gets no samples until it holds them.
void note_load_order(pool& in, std::string_view id, announced_weights const& what);

/// \ingroup fleet
/// \brief Counts a request that is sent to an upstream, also against its budget while it is cold.
void note_request_sent(pool& in, std::string_view id, base::mono_time now);

/// \ingroup fleet
/// \brief Takes back `note_request_sent` when the request has ended.
void note_request_ended(pool& in, std::string_view id);

/// \ingroup fleet
/// \brief A request was answered; `answer_time` enters the mean.
void note_answer_time(pool& in, std::string_view id, base::duration answer_time,
                      base::mono_time now);

/// \ingroup fleet
/// \brief An event arrived `pause` after the one before.
void note_event_interval(pool& in, std::string_view id, base::duration pause, base::mono_time now);

/// \ingroup fleet
/// \brief Forgets how fast upstreams were that have not been used for a while: a slow one gets work
/// again, and shows whether it still is.
void discard_stale_means(pool& in, base::mono_time now);

/// \ingroup fleet
/// \brief A connection failed, broke or fell silent. The upstream is left out for a while that
/// grows with the failures in a row.
void note_failure(pool& in, std::string_view id, base::mono_time now);

/// \ingroup fleet
/// \brief The upstream refused because it is full; it is left out for a moment.
void note_full(pool& in, std::string_view id, base::mono_time now);

/// \ingroup fleet
/// \brief The upstream refused a sample, as it does while it loads weights or is full. It gets
/// nothing for a moment and then one sample at a time until one runs, so that many waiting samples
/// don't all learn the same.
void note_sample_refused(pool& in, std::string_view id, base::mono_time now);

/// \ingroup fleet
/// \brief The upstream does not hold the weights that a sample expected.
void note_weights_missing(pool& in, std::string_view id, base::mono_time now);

/// \ingroup fleet
/// \brief The upstream runs a sample.
void note_sample_started(pool& in, std::string_view id);

/// \ingroup fleet
/// \brief A sample was sent; `note_sample_answered` follows when its answer begins or it ends.
void note_sample_sent(pool& in, std::string_view id, base::mono_time now);

/// \ingroup fleet
void note_sample_answered(pool& in, std::string_view id);

/// \ingroup fleet
/// \brief Finds an upstream.
[[nodiscard]] upstream* find_upstream(pool& in, std::string_view id);

} // namespace gooseberrywood::fleet

#endif
