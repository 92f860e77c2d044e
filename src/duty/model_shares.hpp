#ifndef GOOSEBERRYWOOD_DUTY_MODEL_SHARES_HPP
#define GOOSEBERRYWOOD_DUTY_MODEL_SHARES_HPP

#include "fleet/pool.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief Encodes the assignment of models to upstreams as JSON for the store.
[[nodiscard]] std::string encode_shares(fleet::model_shares const& shares);

/// \ingroup duty
/// \brief Decodes the assignment of models to upstreams.
/// \returns nothing when the text is not a valid assignment.
[[nodiscard]] std::optional<fleet::model_shares> decode_shares(std::string_view text);

} // namespace gooseberrywood::duty

#endif
