#ifndef GOOSEBERRYWOOD_ROUTING_CHOOSE_HPP
#define GOOSEBERRYWOOD_ROUTING_CHOOSE_HPP

#include "base/time.hpp"
#include "routing/upstream_id.hpp"
#include "routing/upstream_table.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace gooseberrywood::routing
{

/// \brief A candidate whose load exceeds this multiple of the mean load of the route's candidates
/// is skipped by prefix affinity. The mean is taken a unit of limit, so that a fresh upstream with
/// a small limit is not filled up to the load of the warm ones.
inline constexpr double load_bound = 1.25;

/// \brief Up to this many candidates, all are ranked by rendezvous hashing, which is exact and
/// takes about one nanosecond for each.
inline constexpr std::size_t rendezvous_max_candidates = 64;

/// \brief Probes into the hash ring of a larger route.
///
/// Rendezvous hashing over 10,000 candidates would cost 10,000 hashes a request. Instead, each
/// candidate has one point on a ring, the prefix has this many, and the candidates that follow them
/// most closely are preferred ("multi-probe consistent hashing"). It keeps what matters: a
/// candidate that comes or goes moves only the prefixes it gains or had. With k probes the fullest
/// candidate gets about 1 + 2/k times the mean share of the prefixes; 8 probes keep this at the
/// load bound. Precomputed slots were not taken, since 10,000 candidates need several slots each
/// and every change of membership touches all of them.
inline constexpr std::size_t ring_probes = 8;

/// \brief A hint divides a candidate's distance from the prefix by this number, so that it raises
/// the candidate's rank without outranking every other one.
///
/// In bench/routing_policy (600 s, seeds 1-3), 4 cut the p99 wait after a cold return by 15 to 35 %
/// against no hints and cost 2 points of prefix hits; ranking all hinted candidates first cost 3 to
/// 4 points, since a prefix then also settles on upstreams that only took its excess.
inline constexpr std::uint64_t hint_gain = 4;

/// \ingroup routing
/// \brief What a choice depends on.
struct choice_request
{
    std::string_view route{};
    std::optional<std::uint64_t> prefix{};
    /// Upstreams that reported the prefix as cached; they rank higher.
    std::span<upstream_id const> hinted{};
    /// Upstreams that earlier attempts of the request used, the last one at the end. They are
    /// excluded; once all candidates were tried, only the last one is.
    std::span<upstream_id const> tried{};
    /// True when equal requests crashed an upstream: such a request is not placed beside another.
    bool suspect = false;
};

/// \ingroup routing
/// \brief A chosen upstream.
struct choice
{
    upstream_id upstream;
    /// True when prefix affinity led to it.
    bool by_prefix = false;
};

/// \brief Chooses an upstream for one attempt.
/// \returns nothing when no candidate with credit left may be used; the request then waits.
[[nodiscard]] std::optional<choice> choose(upstream_table const& table,
                                           choice_request const& request, base::mono_time now,
                                           std::mt19937_64& random);

} // namespace gooseberrywood::routing

#endif
