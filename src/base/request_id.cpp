#include "base/request_id.hpp"

#include "base/hash.hpp"

#include <fmt/format.h>
#include <sodium.h>

namespace gooseberrywood::base
{

request_id random_request_id()
{
    request_id id;
    randombytes_buf(&id, sizeof id);
    return id;
}

request_id derived_request_id(std::string_view team, std::string_view idempotency_key)
{
    // The length prefix keeps ("ab", "c") and ("a", "bc") apart.
    std::string const text = fmt::format("{}:{}{}", team.size(), team, idempotency_key);
    return {hash64(text, 1), hash64(text, 2)};
}

std::string to_string(request_id const& id)
{
    return fmt::format("{:016x}{:016x}", id.high, id.low);
}

} // namespace gooseberrywood::base
