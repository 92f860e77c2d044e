#ifndef GOOSEBERRYWOOD_ENTRY_DUMP_HPP
#define GOOSEBERRYWOOD_ENTRY_DUMP_HPP

#include "entry/entry_process.hpp"

#include <nlohmann/json_fwd.hpp>

namespace gooseberrywood::entry
{

/// \brief The state of an entry for `/state`. It contains no key.
[[nodiscard]] nlohmann::ordered_json dump(entry_process const& entry);

} // namespace gooseberrywood::entry

#endif
