#ifndef GOOSEBERRYWOOD_AGENT_UPSTREAM_HPP
#define GOOSEBERRYWOOD_AGENT_UPSTREAM_HPP

#include "admission/admission_controller.hpp"
#include "agent/execution.hpp"
#include "base/event_source.hpp"
#include "settings/upstream_settings.hpp"

#include <map>
#include <memory>
#include <vector>

namespace gooseberrywood::agent
{

/// \ingroup agent
/// \brief An attempt whose connection broke, until a probe tells whether the upstream crashed.
struct broken_attempt
{
    admission::attempt_key key;
    std::uint64_t entry = 0;
    base::error why;
};

/// \ingroup agent
/// \brief An upstream of this agent with its work.
struct upstream
{
    settings::upstream_settings settings;
    bool is_engine = true;
    /// The configuration knows the upstream's route.
    bool has_route = false;
    admission::admission_controller point;
    std::map<admission::attempt_key, std::unique_ptr<execution>> executions;
    base::event_source deadline_timer;

    // Health.
    bool is_down = false;
    bool is_probing = false;
    std::vector<broken_attempt> broken;
    base::object_ptr<GSocket> probe_socket;
    base::event_source probe_timer;

    /// What the entries were told last; a report is sent when it changes.
    admission::load_report reported;
    base::mono_time report_again_at{};
};

} // namespace gooseberrywood::agent

#endif
