#include "agent/agent_process.hpp"
#include "cli/commands.hpp"
#include "cli/process_setup.hpp"
#include "cli/report.hpp"

namespace gooseberrywood::cli
{

int agent_command(std::span<char const* const> /*args*/)
{
    auto setup = detail::read_setup();
    if (!setup)
    {
        return report(setup.error());
    }
    auto const made = agent::make_agent(std::move(setup->settings), std::move(setup->bundle));
    if (!made)
    {
        return report(made.error());
    }
    agent::run(**made);
    return 0;
}

} // namespace gooseberrywood::cli
