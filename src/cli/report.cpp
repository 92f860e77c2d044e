#include "cli/report.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <string_view>

namespace gooseberrywood::cli
{

int report(base::error const& failure)
{
    std::string_view rest = failure.message;
    while (true)
    {
        auto const end = rest.find('\n');
        fmt::print(stderr, "gooseberrywood: {}\n", rest.substr(0, end));
        if (end == std::string_view::npos)
        {
            return base::info(failure.code).exit_code;
        }
        rest.remove_prefix(end + 1);
    }
}

} // namespace gooseberrywood::cli
