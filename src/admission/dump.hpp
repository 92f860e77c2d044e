#ifndef GOOSEBERRYWOOD_ADMISSION_DUMP_HPP
#define GOOSEBERRYWOOD_ADMISSION_DUMP_HPP

#include "admission/admission_controller.hpp"
#include "admission/claims.hpp"
#include "base/time.hpp"

#include <nlohmann/json.hpp>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief State of an admission controller for the state dump. Contains no keys and no bodies.
/// Times are in milliseconds relative to `now`.
[[nodiscard]] nlohmann::json dump(admission_controller const& controller, base::mono_time now);

/// \ingroup admission
/// \brief State of the claims for the state dump.
[[nodiscard]] nlohmann::json dump(claims const& table);

} // namespace gooseberrywood::admission

#endif
