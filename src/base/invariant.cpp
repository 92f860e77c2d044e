#include "base/invariant.hpp"

#include "base/log.hpp"

#include <cstdlib>

namespace gooseberrywood::base
{

void check_invariant(bool holds, std::string_view what, char const* file, int line)
{
    if (holds)
    {
        return;
    }
    log_line(log_level::error, "invariant_violated",
             {{"what", what},
              {"file", std::string_view(file)},
              {"line", static_cast<std::int64_t>(line)}});
    std::abort();
}

} // namespace gooseberrywood::base
