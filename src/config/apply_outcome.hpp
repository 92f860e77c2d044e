#ifndef GOOSEBERRYWOOD_CONFIG_APPLY_OUTCOME_HPP
#define GOOSEBERRYWOOD_CONFIG_APPLY_OUTCOME_HPP

#include "base/result_code.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief How an operator's command ended.
struct apply_outcome
{
    /// `ok`; `not_in_force_everywhere` (written, some processes have not answered);
    /// `version_conflict` (not written); `timeout` (no majority announced, not written);
    /// `store_unavailable` (not written); `store_outcome_unknown`.
    base::result_code code = base::result_code::internal;
    std::string message;
    /// The version of this command, if it came to one.
    std::uint64_t version = 0;
    /// The version that another operator wrote, after a conflict.
    std::uint64_t other_version = 0;
    /// Processes in which the version, or a later one, is in effect.
    std::size_t in_force = 0;
    /// The other processes of the platform's host list.
    std::vector<std::string> not_answered;
};

} // namespace gooseberrywood::config

#endif
