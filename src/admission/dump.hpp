#ifndef GOOSEBERRYWOOD_ADMISSION_DUMP_HPP
#define GOOSEBERRYWOOD_ADMISSION_DUMP_HPP

#include "admission/admission_controller.hpp"
#include "admission/claims.hpp"
#include "base/time.hpp"

#include <nlohmann/json.hpp>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief State of one upstream's admission for the state dump. Contains no key and no body.
/// Times are in milliseconds from `now`.
[[nodiscard]] nlohmann::json dump(admission_controller const& controller, base::mono_time now);

/// \ingroup admission
/// \brief State of the claims for the state dump.
[[nodiscard]] nlohmann::json dump(claims const& table);

} // namespace gooseberrywood::admission

#endif
