#include "config/head.hpp"

#include "config/delta.hpp"
#include "config/detail/json_fields.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace gooseberrywood::config
{

namespace
{

// The delta as a JSON string inside JSON grows by escapes.
constexpr std::size_t max_head_bytes = 4 * max_head_delta_bytes;

} // namespace

head make_head(record const& from, record const& to)
{
    head made{to.version, record_hash(to), {}};
    if (auto change = encode(make_delta(from, to));
        change && change->size() <= max_head_delta_bytes)
    {
        made.delta = std::move(*change);
    }
    return made;
}

std::string record_key(head const& of)
{
    return fmt::format("config/record/{}-{:016x}", of.version, of.hash);
}

base::result<std::string> encode(head const& from)
{
    nlohmann::json const fields = {
        {"version", from.version}, {"hash", from.hash}, {"delta", from.delta}};
    return detail::dump(fields, max_head_bytes);
}

base::result<head> decode_head(std::string_view text)
{
    auto const fields = detail::parse_object(text, max_head_bytes);
    if (!fields)
    {
        return tl::unexpected(fields.error());
    }
    head made;
    if (!detail::read(*fields, "version", made.version) ||
        !detail::read(*fields, "hash", made.hash) || !detail::read(*fields, "delta", made.delta) ||
        made.version == 0)
    {
        return base::fail(base::result_code::bundle_invalid,
                          "configuration head: a field is missing or has the wrong type");
    }
    return made;
}

} // namespace gooseberrywood::config
