#ifndef GOOSEBERRYWOOD_ROUTING_CLAIM_ROUND_HPP
#define GOOSEBERRYWOOD_ROUTING_CLAIM_ROUND_HPP

#include "base/request_id.hpp"
#include "base/result_code.hpp"
#include "base/time.hpp"
#include "routing/claim_home.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::routing
{

/// \ingroup routing
/// \brief Treatment of unreachable homes.
enum class claim_rule : std::uint8_t
{
    /// The reachable homes decide. Claims stay available while a home is down, but two entries that
    /// reach only different homes of an id, as during a network partition, may both run it.
    reachable_homes,
    /// Every home must answer. An id never runs twice while its homes stay the same, but requests
    /// with a home that is down are refused.
    every_home,
};

/// \ingroup routing
/// \brief Outcome of a claim.
enum class claim_outcome : std::uint8_t
{
    pending,
    /// This entry may run the request.
    run,
    /// Another claimer holds the id; the request may have run.
    duplicate,
    /// Not enough homes have answered to exclude an earlier claim.
    unavailable,
};

/// \ingroup routing
/// \brief State of one home in a round.
struct claim_home_state
{
    std::string host;
    enum class state : std::uint8_t
    {
        asked,
        is_new,
        unreachable,
    } state = state::asked;
    bool older_than_horizon = false;
};

/// \ingroup routing
/// \brief Claims one request id for one execution. A decided outcome is final.
struct claim_round
{
    base::request_id id;
    /// Identifies this claimer, so that a claim repeated after a lost answer is not a duplicate.
    std::uint64_t token = 0;
    claim_rule rule = claim_rule::reachable_homes;
    /// Time limit for the answers. It should be more than 3 s ahead: after 3 s the connection to a
    /// silent home is closed and the other home can decide.
    base::mono_time answer_by{};
    std::vector<claim_home_state> homes;
    claim_outcome outcome = claim_outcome::pending;
};

/// \brief Starts a round: the caller sends `claim_message` to each home whose state is `asked`.
/// \param homes as returned by `choose_claim_homes`.
/// \param connected tells whether the entry has a connection to a host.
[[nodiscard]] claim_round start_claim(base::request_id const& id, std::uint64_t token,
                                      std::span<claim_home const> homes, base::mono_time answer_by,
                                      auto const& connected,
                                      claim_rule rule = claim_rule::reachable_homes);

/// \brief Builds the Claim frame for the homes.
/// \param deadline deadline of the request; the homes keep the claim until some time after it.
[[nodiscard]] wire::claim claim_message(claim_round const& round, base::wall_time deadline);

/// \brief Handles the answer of a home. Answers of other hosts, answers to other claims and late
/// ones have no effect.
claim_outcome on_claim_answer(claim_round& round, std::string_view host,
                              wire::claimed const& answer);

/// \brief Handles the loss of the connection to a host; a home that has not answered becomes
/// unreachable.
claim_outcome on_home_lost(claim_round& round, std::string_view host);

/// \brief Ends an undecided claim as unavailable from `answer_by` on. A home that is connected but
/// silent does not count as unreachable, since it may hold an earlier claim.
claim_outcome check_claim_deadline(claim_round& round, base::mono_time now);

/// \brief Result code of an outcome for the caller: `ok` for run, otherwise `outcome_unknown`,
/// since an earlier request with the same id may have run.
[[nodiscard]] base::result_code claim_result(claim_outcome outcome);

namespace detail
{

claim_outcome decide(claim_round& round);

} // namespace detail

claim_round start_claim(base::request_id const& id, std::uint64_t token,
                        std::span<claim_home const> homes, base::mono_time answer_by,
                        auto const& connected, claim_rule rule)
{
    claim_round round{id, token, rule, answer_by, {}, claim_outcome::pending};
    for (auto const& home : homes)
    {
        auto const reachable = connected(std::string_view(home.host));
        round.homes.push_back(
            {home.host,
             reachable ? claim_home_state::state::asked : claim_home_state::state::unreachable,
             false});
    }
    detail::decide(round);
    return round;
}

} // namespace gooseberrywood::routing

#endif
