#ifndef GOOSEBERRYWOOD_DUTY_REPORT_TRANSACTION_HPP
#define GOOSEBERRYWOOD_DUTY_REPORT_TRANSACTION_HPP

#include "duty/usage_report.hpp"
#include "store/transaction.hpp"

#include <string>
#include <vector>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief The transaction that fixes a report of usage in the store, unless there is one already.
[[nodiscard]] store::transaction report_transaction(usage_report const& report);

/// \ingroup duty
/// \brief Takes as many of the keys as one transaction can remove.
/// \param keys those that are left stay.
[[nodiscard]] store::transaction take_removals(std::vector<std::string>& keys);

} // namespace gooseberrywood::duty

#endif
