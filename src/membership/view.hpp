#ifndef GOOSEBERRYWOOD_MEMBERSHIP_VIEW_HPP
#define GOOSEBERRYWOOD_MEMBERSHIP_VIEW_HPP

#include "base/time.hpp"
#include "membership/host_state.hpp"
#include "membership/listed_host.hpp"
#include "membership/work_state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::membership
{

/// \ingroup membership
/// \brief Silence after which a host gets no new work; the connection is closed then as well.
inline constexpr base::duration silence_limit = std::chrono::seconds(3);

/// \ingroup membership
/// \brief The entry's view of all upstream hosts.
struct view
{
    std::map<std::string, host_state, std::less<>> hosts;
    std::set<std::string, std::less<>> domains_out;
};

/// \brief Takes over an answer of the platform's host list. When the platform does not answer, the
/// last list stays.
void set_listed(view& of, std::span<listed_host const> listed);

/// \brief Takes over the failure domains out of the configuration that has come into effect. The
/// hosts of a domain that returns are treated as fresh.
void set_domains_out(view& of, std::span<std::string const> domains, base::mono_time now);

/// \brief Notes the hello of an agent. A new incarnation is fresh and no longer leaving.
/// \param incarnation the number drawn at the start of the agent.
void connected(view& of, std::string_view host, std::string_view domain, std::uint64_t incarnation,
               base::mono_time now);

/// \brief Notes that the connection to an agent has ended.
void disconnected(view& of, std::string_view host);

/// \brief Notes a frame of an agent.
void heard(view& of, std::string_view host, base::mono_time now);

/// \brief Notes whether an agent accepts work, as stated in its `credit` frames.
void set_refusing(view& of, std::string_view host, bool refusing);

/// \brief Whether a host may receive new work, or why not.
[[nodiscard]] work_state state_of(view const& of, std::string_view host, base::mono_time now);

/// \brief The hosts that may receive new work.
[[nodiscard]] std::vector<std::string> accepting(view const& of, base::mono_time now);

/// \brief When the host last came into service, for its ramp; the earliest time if unknown.
[[nodiscard]] base::mono_time fresh_since(view const& of, std::string_view host);

/// \brief Whether the frames to this host must say that it is leaving. The agent then refuses work
/// from all entries, also from those whose host list lags behind.
[[nodiscard]] bool must_tell_leaving(view const& of, std::string_view host);

} // namespace gooseberrywood::membership

#endif
