#include "rollout/member.hpp"

#include "base/ip_port.hpp"
#include "base/json_fields.hpp"

#include <fmt/format.h>

#include <utility>

namespace gooseberrywood::rollout
{

namespace
{

// Above any host: a member of untold strength would read and own for all others.
constexpr double max_processors = 10'000;

} // namespace

std::string encode(member const& member)
{
    nlohmann::json const body = {{"lease", member.lease},
                                 {"peer_address", member.peer_address},
                                 {"processors", member.processors},
                                 {"domain", member.domain}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<member> decode_member(std::string host, std::string_view text)
{
    auto const body = base::parse_object(text);
    if (!body)
    {
        return std::nullopt;
    }
    auto const lease = base::read_unsigned(*body, "lease");
    auto address = base::read_text(*body, "peer_address");
    auto const processors = base::read_number(*body, "processors");
    auto domain = base::read_text(*body, "domain");
    bool const is_address = address && (address->empty() || base::ip_port_from(*address));
    if (!lease || !is_address || !processors || *processors < 0 || *processors > max_processors ||
        !domain)
    {
        return std::nullopt;
    }
    return member{std::move(host), *lease, std::move(*address), *processors, std::move(*domain)};
}

std::string owner_id(std::string_view host, std::uint64_t lease)
{
    return fmt::format("{}#{}", host, lease);
}

} // namespace gooseberrywood::rollout
