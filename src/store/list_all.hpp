#ifndef GOOSEBERRYWOOD_STORE_LIST_ALL_HPP
#define GOOSEBERRYWOOD_STORE_LIST_ALL_HPP

#include "store/client.hpp"

#include <string>
#include <vector>

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief Lists all items under a prefix that come after a key, page by page.
/// \param from must outlive the calls.
void list_all(client const& from, std::string const& prefix, std::string const& after,
              base::mono_time deadline, done<std::vector<item>> const& then);

} // namespace gooseberrywood::store

#endif
