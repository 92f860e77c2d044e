#ifndef GOOSEBERRYWOOD_STORE_LIST_ALL_HPP
#define GOOSEBERRYWOOD_STORE_LIST_ALL_HPP

#include "store/client.hpp"

#include <string>
#include <vector>

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief Lists all items under a prefix whose keys sort after a key, page by page.
/// \param store must outlive the calls.
void list_all(client const& store, std::string const& prefix, std::string const& after,
              base::mono_time deadline, done<std::vector<item>> const& on_done);

} // namespace gooseberrywood::store

#endif
