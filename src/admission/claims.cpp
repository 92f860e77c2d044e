#include "admission/claims.hpp"

#include "admission/ledger.hpp"

#include <algorithm>
#include <optional>

namespace gooseberrywood::admission
{

claim_status claim(claims& table, base::request_id const& id, std::uint64_t token,
                   base::mono_time deadline, base::mono_time now)
{
    expire(table, now);
    auto const horizon = deadline + horizon_margin;
    auto const found = table.records.find(id);
    // The wheel removes a record up to a second late; callers must not see a record past its
    // horizon.
    if (found != table.records.end() && found->second.horizon > now)
    {
        if (found->second.token != token)
        {
            return claim_status::taken;
        }
        found->second.horizon = std::max(found->second.horizon, horizon);
        return claim_status::same_token;
    }
    if (deadline <= now)
    {
        return claim_status::refused;
    }
    if (found != table.records.end())
    {
        found->second = {token, horizon};
        return claim_status::is_new;
    }
    if (table.records.size() >= table.max_claims)
    {
        return claim_status::refused;
    }
    table.records.emplace(id, claim_record{token, horizon});
    detail::add(table.wheel, id, horizon, now);
    return claim_status::is_new;
}

void expire(claims& table, base::mono_time now)
{
    detail::advance(table.wheel, now,
                    [&](base::request_id const& id) -> std::optional<base::mono_time>
                    {
                        auto const found = table.records.find(id);
                        if (found->second.horizon > now)
                        {
                            return found->second.horizon;
                        }
                        table.records.erase(found);
                        return std::nullopt;
                    });
}

} // namespace gooseberrywood::admission
