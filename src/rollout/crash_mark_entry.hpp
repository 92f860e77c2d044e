#ifndef GOOSEBERRYWOOD_ROLLOUT_CRASH_MARK_ENTRY_HPP
#define GOOSEBERRYWOOD_ROLLOUT_CRASH_MARK_ENTRY_HPP

#include "fleet/crash_marks.hpp"
#include "store/item.hpp"
#include "store/transaction.hpp"

#include <cstdint>
#include <optional>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Encodes a mark as an entry of its own, so that gateways that write marks at the same time
/// don't overwrite each other's.
/// \param lease removes the entry.
[[nodiscard]] store::write encode_crash_notice(fleet::crash_notice const& notice,
                                               std::uint64_t lease);

/// \ingroup rollout
/// \brief Decodes an entry under `crash_mark_prefix`.
/// \returns nothing when the entry is unreadable.
[[nodiscard]] std::optional<fleet::crash_notice> decode_crash_notice(store::item const& item);

} // namespace gooseberrywood::rollout

#endif
