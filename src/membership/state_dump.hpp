#ifndef GOOSEBERRYWOOD_MEMBERSHIP_STATE_DUMP_HPP
#define GOOSEBERRYWOOD_MEMBERSHIP_STATE_DUMP_HPP

#include "base/time.hpp"
#include "membership/agent_state.hpp"
#include "membership/view.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace gooseberrywood::membership
{

/// \brief Returns the name of a state as used in dumps and logs.
[[nodiscard]] std::string_view to_string(work_state state);

/// \brief Returns an entry's view for `GET /state`: each host with its domain and state.
[[nodiscard]] nlohmann::json dump(view const& members, base::mono_time now);

/// \brief Returns an agent's own state for `GET /state`.
[[nodiscard]] nlohmann::json dump(agent_state const& agent);

} // namespace gooseberrywood::membership

#endif
