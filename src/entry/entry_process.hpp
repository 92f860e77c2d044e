#ifndef GOOSEBERRYWOOD_ENTRY_ENTRY_PROCESS_HPP
#define GOOSEBERRYWOOD_ENTRY_ENTRY_PROCESS_HPP

#include "base/event_source.hpp"
#include "base/result.hpp"
#include "bundle/bundle.hpp"
#include "entry/agent_link.hpp"
#include "entry/request.hpp"
#include "http/server.hpp"
#include "process/main_loop.hpp"
#include "settings/process_settings.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrywood::entry
{

/// \ingroup entry
/// \brief All state of an entry.
struct entry_process
{
    settings::process_settings settings;
    bundle::bundle bundle;
    wire::hello own;
    process::main_loop loop;
    std::unique_ptr<http::server> callers;
    std::unique_ptr<http::server> admin;
    std::vector<std::shared_ptr<agent_link>> agents;
    std::unordered_map<base::request_id, request> requests;
    base::event_source caller_check;
    std::size_t next_agent = 0;
    bool stopping = false;
};

/// \ingroup entry
/// \brief Opens the ports and connections of an entry.
[[nodiscard]] base::result<std::unique_ptr<entry_process>>
make_entry(settings::process_settings settings, bundle::bundle bundle);

/// \ingroup entry
/// \brief Runs until the process was told to stop and its last request is answered.
void run(entry_process& entry);

} // namespace gooseberrywood::entry

#endif
