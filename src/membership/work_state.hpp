#ifndef GOOSEBERRYWOOD_MEMBERSHIP_WORK_STATE_HPP
#define GOOSEBERRYWOOD_MEMBERSHIP_WORK_STATE_HPP

#include "base/result_code.hpp"

#include <cstdint>

namespace gooseberrywood::membership
{

/// \ingroup membership
/// \brief Whether a host may receive new work, or why not.
enum class work_state : std::uint8_t
{
    accepting,
    unknown,
    not_connected,
    silent,
    leaving,
    domain_out,
    refusing,
};

/// \brief Returns the result code of a refusal for this reason; `ok` for `accepting`.
[[nodiscard]] constexpr base::result_code refusal_code(work_state state)
{
    switch (state)
    {
    case work_state::accepting:
        return base::result_code::ok;
    case work_state::leaving:
        return base::result_code::upstream_leaving;
    case work_state::domain_out:
        return base::result_code::domain_out;
    case work_state::unknown:
    case work_state::not_connected:
    case work_state::silent:
    case work_state::refusing:
        break;
    }
    return base::result_code::no_upstream;
}

} // namespace gooseberrywood::membership

#endif
