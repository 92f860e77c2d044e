#ifndef GOOSEBERRYWOOD_ROLLOUT_TEXT_ORIGIN_HPP
#define GOOSEBERRYWOOD_ROLLOUT_TEXT_ORIGIN_HPP

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief What generated a text. Only upstreams of the same service and software version may
/// continue it: what others write does not fit, and upstreams don't check this.
struct text_origin
{
    std::string service;
    std::string software_version;

    friend bool operator==(text_origin const&, text_origin const&) = default;
};

/// \ingroup rollout
/// \brief Adds the fields of an origin to a JSON object.
void add_fields(nlohmann::json& object, text_origin const& origin);

/// \ingroup rollout
/// \brief Reads an origin from the fields of a JSON object.
/// \returns nothing when a field is missing, empty or of another type.
[[nodiscard]] std::optional<text_origin> read_origin(nlohmann::json const& object);

/// \ingroup rollout
/// \brief Encodes an origin as JSON for the store.
[[nodiscard]] std::string encode(text_origin const& origin);

/// \ingroup rollout
/// \brief Decodes an origin from its stored form.
/// \returns nothing when the text is not a valid origin.
[[nodiscard]] std::optional<text_origin> decode_origin(std::string_view text);

} // namespace gooseberrywood::rollout

#endif
