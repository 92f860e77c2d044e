#ifndef GOOSEBERRYWOOD_PROVIDER_USAGE_LINE_HPP
#define GOOSEBERRYWOOD_PROVIDER_USAGE_LINE_HPP

#include <cstdint>
#include <string>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief Usage of one team on one route within a reporting window.
struct usage_line
{
    std::string team;
    std::string route;
    std::uint64_t requests = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t generated_tokens = 0;

    friend bool operator==(usage_line const&, usage_line const&) = default;
};

} // namespace gooseberrywood::provider

#endif
