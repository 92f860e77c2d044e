#ifndef GOOSEBERRYWOOD_DUTY_REPORT_TRANSACTION_HPP
#define GOOSEBERRYWOOD_DUTY_REPORT_TRANSACTION_HPP

#include "duty/usage_report.hpp"
#include "store/transaction.hpp"

#include <string>
#include <vector>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief Transaction that stores a usage report, unless one is stored already for its window.
[[nodiscard]] store::transaction report_transaction(usage_report const& report);

/// \ingroup duty
/// \brief Builds a transaction that removes as many of the keys as one transaction may contain.
/// \param keys the keys in the transaction are erased from this list.
[[nodiscard]] store::transaction take_removals(std::vector<std::string>& keys);

} // namespace gooseberrywood::duty

#endif
