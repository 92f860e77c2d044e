#include "cli/commands.hpp"
#include "cli/process_setup.hpp"
#include "cli/report.hpp"
#include "entry/entry_process.hpp"

namespace gooseberrywood::cli
{

int entry_command(std::span<char const* const> /*args*/)
{
    auto setup = detail::read_setup();
    if (!setup)
    {
        return report(setup.error());
    }
    auto const made = entry::make_entry(std::move(setup->settings), std::move(setup->bundle));
    if (!made)
    {
        return report(made.error());
    }
    entry::run(**made);
    return 0;
}

} // namespace gooseberrywood::cli
