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
/// \brief How homes that can't be reached are treated.
enum class claim_rule : std::uint8_t
{
    /// The reachable ones decide. Available while a home is down; but two entries that each reach
    /// only the other home of an id, as during a cut between regions, may both run it.
    reachable_homes,
    /// Every home must answer. Never runs an id twice while the homes stay the same, but refuses
    /// the requests of each home that is down.
    every_home,
};

/// \ingroup routing
/// \brief What became of a claim.
enum class claim_outcome : std::uint8_t
{
    pending,
    /// This entry may run the request.
    run,
    /// Another claimer has the id; the request may have run.
    duplicate,
    /// No home that would know an earlier claim has answered.
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
/// \brief Claims one request id for one execution. Once decided, the outcome stays.
struct claim_round
{
    base::request_id id;
    /// Names this claimer, so that a claim sent again after a lost answer is not a duplicate.
    std::uint64_t token = 0;
    claim_rule rule = claim_rule::reachable_homes;
    /// Until then, homes that have not answered may still do so. It should lie more than 3 s ahead,
    /// after which the connection to a silent home is closed and the other home can decide.
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

/// \brief The frame for each home.
/// \param deadline deadline of the request, up to which and beyond the homes keep the claim.
[[nodiscard]] wire::claim claim_message(claim_round const& round, base::wall_time deadline);

/// \brief Takes an answer. Answers of other hosts, for other claims, or late ones have no effect.
claim_outcome on_claim_answer(claim_round& round, std::string_view host,
                              wire::claimed const& answer);

/// \brief The connection to a host was lost; if it is a home that has not answered, it is
/// unreachable.
claim_outcome on_home_lost(claim_round& round, std::string_view host);

/// \brief Checks the time: at `answer_by` an undecided claim is unavailable. A home that is
/// connected but silent is not taken as unreachable, since it may hold an earlier claim.
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
