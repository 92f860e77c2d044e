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

/// \brief Prefix affinity skips a candidate whose load exceeds this multiple of the mean load of
/// the route's candidates (consistent hashing with bounded loads). Loads are compared per unit of
/// limit, so that a fresh upstream with a small limit is not filled up to the load of the warm
/// ones.
inline constexpr double load_bound = 1.25;

/// \brief Maximum number of candidates for rendezvous hashing, which is exact and takes about one
/// nanosecond per candidate.
inline constexpr std::size_t rendezvous_max_candidates = 64;

/// \brief Number of probes into the hash ring of a larger route.
///
/// Rendezvous hashing over 10,000 candidates would cost 10,000 hashes per request. Instead, each
/// candidate has one point on a ring, the prefix has this many, and the candidates that follow them
/// most closely are preferred (multi-probe consistent hashing). As with rendezvous hashing, adding
/// or removing a candidate moves only the prefixes that it gains or had. With k probes the most
/// loaded candidate gets about 1 + 2/k times the mean share of the prefixes; 8 probes keep this at
/// the load bound. A table of precomputed slots would need several slots for each of 10,000
/// candidates, and each change of membership would touch all of them.
inline constexpr std::size_t ring_probes = 8;

/// \brief A hint divides a candidate's distance from the prefix by this number, so that it raises
/// the candidate's rank without outranking every other one.
///
/// In bench/routing_policy (600 s, seeds 1-3), a gain of 4 reduces the p99 wait after a cold return
/// by 15 to 35 % against no hints and costs 2 percentage points of prefix hits. Ranking all hinted
/// candidates first costs 3 to 4 points, since a prefix then also settles on upstreams that only
/// took its overflow.
inline constexpr std::uint64_t hint_gain = 4;

/// \ingroup routing
/// \brief Parameters of the choice of an upstream.
struct choice_request
{
    std::string_view route{};
    std::optional<std::uint64_t> prefix{};
    /// Upstreams that reported the prefix as cached; they rank higher.
    std::span<upstream_id const> hinted{};
    /// Upstreams of earlier attempts of the request, the latest one last. They are excluded; once
    /// all candidates have been tried, only the latest one is.
    std::span<upstream_id const> tried{};
    /// True when requests with the same fingerprint were running when an upstream crashed; such a
    /// request is not placed beside another suspect.
    bool suspect = false;
};

/// \ingroup routing
/// \brief Chosen upstream.
struct choice
{
    upstream_id upstream;
    /// True when it was chosen by prefix affinity.
    bool by_prefix = false;
};

/// \brief Chooses an upstream for one attempt.
/// \returns nothing when no usable candidate has credit left; the request then waits.
[[nodiscard]] std::optional<choice> choose(upstream_table const& table,
                                           choice_request const& request, base::mono_time now,
                                           std::mt19937_64& random);

} // namespace gooseberrywood::routing

#endif
