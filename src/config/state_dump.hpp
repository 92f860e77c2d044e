#ifndef GOOSEBERRYWOOD_CONFIG_STATE_DUMP_HPP
#define GOOSEBERRYWOOD_CONFIG_STATE_DUMP_HPP

#include "base/time.hpp"
#include "config/announcements.hpp"
#include "config/freshness.hpp"
#include "config/in_force.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace gooseberrywood::config
{

/// \brief Name of a state in dumps and logs.
[[nodiscard]] std::string_view to_string(serving_state state);

/// \brief The configuration in effect for `GET /state`: versions, bytes, and peers that are ahead.
/// It holds no bundle text, since that names the hashes of keys.
[[nodiscard]] nlohmann::json dump(in_force const& of);

/// \brief An entry's freshness for `GET /state`. Times are milliseconds from now; null means never.
[[nodiscard]] nlohmann::json dump(freshness const& of, base::mono_time now);

/// \brief An agent's announcements for `GET /state`.
[[nodiscard]] nlohmann::json dump(announcements const& of, base::mono_time now);

} // namespace gooseberrywood::config

#endif
