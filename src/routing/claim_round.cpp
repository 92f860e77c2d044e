#include "routing/claim_round.hpp"

#include <algorithm>

namespace gooseberrywood::routing
{

namespace
{

using state = enum claim_home_state::state;

claim_home_state* find_unanswered_home(claim_round& round, std::string_view host)
{
    auto const home = std::ranges::find(round.homes, host, &claim_home_state::host);
    return home != round.homes.end() && home->state == state::asked ? &*home : nullptr;
}

} // namespace

claim_outcome detail::decide(claim_round& round)
{
    if (round.outcome != claim_outcome::pending ||
        std::ranges::any_of(round.homes, [](claim_home_state const& home)
                            { return home.state == state::asked; }))
    {
        return round.outcome;
    }
    auto const covers_horizon =
        std::ranges::any_of(round.homes, [](claim_home_state const& home)
                            { return home.state == state::is_new && home.older_than_horizon; });
    auto const any_unreachable = std::ranges::any_of(round.homes, [](claim_home_state const& home)
                                                     { return home.state == state::unreachable; });
    round.outcome =
        covers_horizon && (!any_unreachable || round.rule == claim_rule::reachable_homes)
            ? claim_outcome::run
            : claim_outcome::unavailable;
    return round.outcome;
}

wire::claim claim_message(claim_round const& round, base::wall_time deadline)
{
    return {round.id, round.token, deadline};
}

claim_outcome on_claim_answer(claim_round& round, std::string_view host,
                              wire::claimed const& answer)
{
    if (round.outcome != claim_outcome::pending || answer.id != round.id ||
        answer.token != round.token)
    {
        return round.outcome;
    }
    if (auto* home = find_unanswered_home(round, host))
    {
        if (!answer.is_new)
        {
            round.outcome = claim_outcome::duplicate;
            return round.outcome;
        }
        home->state = state::is_new;
        home->older_than_horizon = answer.older_than_horizon;
    }
    return detail::decide(round);
}

claim_outcome on_home_lost(claim_round& round, std::string_view host)
{
    if (auto* home = find_unanswered_home(round, host))
    {
        home->state = state::unreachable;
    }
    return detail::decide(round);
}

claim_outcome check_claim_deadline(claim_round& round, base::mono_time now)
{
    if (round.outcome == claim_outcome::pending && now >= round.answer_by)
    {
        round.outcome = claim_outcome::unavailable;
    }
    return round.outcome;
}

base::result_code claim_result(claim_outcome outcome)
{
    return outcome == claim_outcome::run ? base::result_code::ok
                                         : base::result_code::outcome_unknown;
}

} // namespace gooseberrywood::routing
