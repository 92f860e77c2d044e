#ifndef GOOSEBERRYWOOD_DUTY_REPORT_TRANSACTION_HPP
#define GOOSEBERRYWOOD_DUTY_REPORT_TRANSACTION_HPP

#include "duty/usage_report.hpp"
#include "store/transaction.hpp"

#include <string>
#include <vector>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief Builds a transaction that stores a usage report, on the condition that no report is
/// stored for its window yet.
[[nodiscard]] store::transaction report_transaction(usage_report const& report);

/// \ingroup duty
/// \brief Builds a transaction that removes as many of the keys as one transaction may contain.
/// \param keys keys to remove; those that the transaction contains are erased from this list.
[[nodiscard]] store::transaction take_removals(std::vector<std::string>& keys);

} // namespace gooseberrywood::duty

#endif
