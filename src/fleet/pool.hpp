#ifndef GOOSEBERRYWOOD_FLEET_POOL_HPP
#define GOOSEBERRYWOOD_FLEET_POOL_HPP

#include "base/time.hpp"
#include "fleet/departures.hpp"
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
/// \brief Model that each upstream serves, by the id of the upstream.
using model_shares = std::map<std::string, std::string, std::less<>>;

/// \ingroup fleet
/// \brief Rate limit of an upstream that is no longer listed. It may be listed again: its entry
/// also expires while it can't reach the store.
struct unlisted_limit
{
    /// Incarnation that stated the limit; see `upstream_record::started_ms`.
    std::int64_t started_ms = 0;
    rate_limit limit;
    base::mono_time forget_at{};
};

/// \ingroup fleet
/// \brief The upstreams that this process may use.
struct pool
{
    /// By id.
    std::map<std::string, upstream, std::less<>> upstreams;
    /// Assignment of upstreams to models. An upstream without an entry may serve any model.
    model_shares shares;
    /// Failure domains that are out of service; their upstreams get no requests.
    std::set<std::string, std::less<>> domains_out;
    /// Number of processes that share the budget of a cold upstream; at least 1.
    std::uint32_t sharing_processes = 1;
    /// By id.
    std::map<std::string, unlisted_limit> unlisted_limits;
    /// Outlives the entries in `upstreams`.
    departure_marks departures;
    /// Until this time, upstreams that are missing from the list are kept: their entries may have
    /// expired while the store was unavailable.
    base::mono_time keep_missing_until{};
};

/// \ingroup fleet
/// \brief Changes made by a new list of upstreams, by id, for the log.
struct pool_change
{
    std::vector<std::string> added;
    std::vector<std::string> removed;
    std::vector<std::string> draining;
};

/// \ingroup fleet
/// \brief Updates the pool from the list of upstreams.
/// \param listed all upstreams that have an entry in the store.
pool_change apply_list(pool& pool, std::span<upstream_record const> listed, base::mono_time now);

/// \ingroup fleet
/// \brief Records the version of the weights that an answer of an upstream shows. An older version
/// than the known one is ignored, because versions only increase within an incarnation.
void note_weights(pool& pool, std::string_view id, std::string_view model, std::uint32_t version);

/// \ingroup fleet
/// \brief Records that an upstream was ordered to load weights. It gets no samples until the load
/// is expected to have finished.
void note_load_order(pool& pool, std::string_view id, announced_weights const& weights);

/// \ingroup fleet
/// \brief Records that an upstream has stated in an answer that it leaves. This incarnation gets no
/// more requests, whether it is listed or not.
/// \returns whether this was not known.
bool note_leaving(pool& pool, incarnation const& leaving, base::mono_time now);

/// \ingroup fleet
/// \brief Counts a request that is sent to an upstream, and charges it to the budget of a cold
/// upstream.
void note_request_sent(pool& pool, std::string_view id, base::mono_time now);

/// \ingroup fleet
/// \brief Counts down the running requests when a request has ended.
void note_request_ended(pool& pool, std::string_view id);

/// \ingroup fleet
/// \brief Adds the response time of an answered request to the mean, and resets the failure count.
void note_answer_time(pool& pool, std::string_view id, base::duration answer_time,
                      base::mono_time now);

/// \ingroup fleet
/// \brief Records that an upstream has not answered a request within some time. If that is longer
/// than the mean, it is added as a measurement, so that an upstream that stays silent is avoided
/// like a slow one and does not need a second try for each request.
void note_unanswered(pool& pool, std::string_view id, base::duration waited, base::mono_time now);

/// \ingroup fleet
/// \brief Adds the time between two events of a stream to the mean, and resets the failure count.
void note_event_interval(pool& pool, std::string_view id, base::duration interval,
                         base::mono_time now);

/// \ingroup fleet
/// \brief Discards the means of upstreams that were not measured recently, so that an upstream that
/// was slow gets requests again and is measured anew.
void discard_stale_means(pool& pool, base::mono_time now);

/// \ingroup fleet
/// \brief Records that a connection failed, broke or timed out. The upstream is suspended for a
/// time that doubles with each consecutive failure, up to a limit.
void note_failure(pool& pool, std::string_view id, base::mono_time now);

/// \ingroup fleet
/// \brief Records that an upstream refused a request because it is full. It is suspended briefly.
void note_full(pool& pool, std::string_view id, base::mono_time now);

/// \ingroup fleet
/// \brief Records that an upstream refused a sample, as it does while it loads weights or is full.
/// It gets no samples for a short time and then one at a time until one runs, so that many waiting
/// samples are not all sent and refused.
void note_sample_refused(pool& pool, std::string_view id, base::mono_time now);

/// \ingroup fleet
/// \brief Records that an upstream does not have the weights that a sample expected. It is not
/// probed for unconfirmed weights again for a while.
void note_weights_missing(pool& pool, std::string_view id, base::mono_time now);

/// \ingroup fleet
/// \brief Records that an upstream has started a sample, which ends its probation.
void note_sample_started(pool& pool, std::string_view id);

/// \ingroup fleet
/// \brief Counts a sample that is sent to an upstream. `note_sample_answered` must follow when its
/// answer begins or when it ends without one.
void note_sample_sent(pool& pool, std::string_view id, base::mono_time now);

/// \ingroup fleet
/// \brief Counts down the unanswered samples of an upstream.
void note_sample_answered(pool& pool, std::string_view id);

/// \ingroup fleet
/// \brief Finds an upstream by its id.
/// \returns null when the pool does not contain it.
[[nodiscard]] upstream* find_upstream(pool& pool, std::string_view id);

} // namespace gooseberrywood::fleet

#endif
