#include "config/record.hpp"

#include "base/hash.hpp"
#include "config/detail/json_fields.hpp"

#include <nlohmann/json.hpp>

#include <fmt/format.h>

namespace gooseberrywood::config
{

base::result<std::string> encode(record const& from)
{
    nlohmann::json const fields = {{"version", from.version},
                                   {"bundle", from.bundle_text},
                                   {"signature", from.bundle_signature},
                                   {"domains_out", from.domains_out}};
    return detail::dump(fields, max_record_bytes);
}

base::result<record> decode_record(std::string_view text)
{
    auto const fields = detail::parse_object(text, max_record_bytes);
    if (!fields)
    {
        return tl::unexpected(fields.error());
    }
    record made;
    if (!detail::read(*fields, "version", made.version) ||
        !detail::read(*fields, "bundle", made.bundle_text) ||
        !detail::read(*fields, "signature", made.bundle_signature) ||
        !detail::read(*fields, "domains_out", made.domains_out, max_domains_out))
    {
        return base::fail(base::result_code::bundle_invalid,
                          "configuration record: a field is missing or has the wrong type");
    }
    if (made.version == 0)
    {
        return base::fail(base::result_code::bundle_invalid,
                          "configuration record: the version must be at least 1");
    }
    return made;
}

std::uint64_t record_hash(record const& of)
{
    // Each field starts with the hash of the one before, so that bytes can't move between fields.
    auto value = base::hash64(of.bundle_text, of.version);
    value = base::hash64(of.bundle_signature, value);
    for (auto const& domain : of.domains_out)
    {
        value = base::hash64(domain, value);
    }
    return value;
}

} // namespace gooseberrywood::config
