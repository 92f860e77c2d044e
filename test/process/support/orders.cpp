#include "process/support/orders.hpp"

#include "base/hash.hpp"

#include <fmt/format.h>

namespace gooseberrywood::test
{

http_request post_order(entry_host const& at, std::string const& body)
{
    return {at.url() + "/stock/order", "POST", body, {{"Authorization", "Bearer zlatar-key"}}};
}

std::size_t order_executions(deployment const& in, std::string const& body)
{
    auto const wanted = fmt::format("{:016x}", base::hash64(body));
    std::size_t count = 0;
    for (auto const& a : in.agents)
    {
        for (auto const& e : executions(*a->upstreams[1]))
        {
            count += e.at("body_hash") == wanted ? 1 : 0;
        }
    }
    return count;
}

nlohmann::json error_of(http_response const& answer)
{
    return nlohmann::json::parse(answer.body).at("error");
}

} // namespace gooseberrywood::test
