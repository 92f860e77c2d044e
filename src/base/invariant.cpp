#include "base/invariant.hpp"

#include "base/log.hpp"

#include <cstdlib>

namespace gooseberrywood::base
{

void check_invariant(bool holds, std::string_view what, std::source_location where)
{
    if (holds)
    {
        return;
    }
    log_line(log_level::error, "invariant_violated",
             {{"what", what},
              {"file", std::string_view(where.file_name())},
              {"line", static_cast<std::int64_t>(where.line())}});
    std::abort();
}

} // namespace gooseberrywood::base
