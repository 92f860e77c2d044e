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
/// \brief Time without a frame after which a host gets no new work. The connection is closed after
/// the same time.
inline constexpr base::duration silence_timeout = std::chrono::seconds(3);

/// \ingroup membership
/// \brief An entry's view of all upstream hosts.
struct view
{
    std::map<std::string, host_state, std::less<>> hosts;
    std::set<std::string, std::less<>> domains_out;
};

/// \brief Applies a host list received from the platform. While the platform does not answer, the
/// last list remains in use.
void apply_host_list(view& members, std::span<listed_host const> listed);

/// \brief Applies the list of failure domains out of service from the configuration in effect. The
/// hosts of a domain that returns to service start a new warm-up.
void set_domains_out(view& members, std::span<std::string const> domains, base::mono_time now);

/// \brief Records the hello of an agent. A new incarnation starts a warm-up and is not leaving.
/// \param incarnation number that the agent chooses anew at each start.
void on_connected(view& members, std::string_view host, std::string_view domain,
                  std::uint64_t incarnation, base::mono_time now);

/// \brief Records that the connection to an agent has ended.
void on_disconnected(view& members, std::string_view host);

/// \brief Records that a frame of an agent has arrived, which restarts its silence timeout.
void on_frame(view& members, std::string_view host, base::mono_time now);

/// \brief Records whether an agent refuses work, as reported in its `credit` frames.
void set_refusing(view& members, std::string_view host, bool refusing);

/// \brief Returns whether a host may receive new work, or why not.
[[nodiscard]] work_state state_of(view const& members, std::string_view host, base::mono_time now);

/// \brief Returns the hosts that may receive new work.
[[nodiscard]] std::vector<std::string> accepting_hosts(view const& members, base::mono_time now);

/// \brief Returns when the host's warm-up started; the earliest time for an unknown host.
[[nodiscard]] base::mono_time warm_up_start(view const& members, std::string_view host);

/// \brief Returns whether frames to this host must state that it is leaving. Its agent then refuses
/// work from all entries, including those whose host list lags.
[[nodiscard]] bool must_announce_leaving(view const& members, std::string_view host);

} // namespace gooseberrywood::membership

#endif
