#ifndef GOOSEBERRYWOOD_STORE_CLIENT_HPP
#define GOOSEBERRYWOOD_STORE_CLIENT_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "store/commit.hpp"
#include "store/item.hpp"
#include "store/page.hpp"
#include "store/transaction.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief Callback that receives the outcome of a call. It is invoked from the main loop.
template <class T>
using done = std::function<void(base::result<T>)>;

/// \ingroup store
/// \brief Client of a linearizable key-value store with transactions and leases.
///
/// Errors: `store_unavailable` means that the call certainly had no effect, `store_outcome_unknown`
/// that it may have taken effect or may still take effect, `lease_lost` that the lease has ended.
struct client
{
    /// Reads one item. The result is empty if the key does not exist.
    std::function<void(std::string key, base::mono_time deadline, done<std::optional<item>>)> read;
    /// Lists the items under a prefix whose keys sort after `after`, which may be empty.
    std::function<void(std::string prefix, std::string after, base::mono_time deadline, done<page>)>
        list;
    std::function<void(transaction, base::mono_time deadline, done<commit>)> commit_transaction;
    /// Grants a lease. Its duration starts when the call reaches the store.
    std::function<void(base::duration, base::mono_time deadline, done<std::uint64_t>)> grant;
    std::function<void(std::uint64_t lease, base::mono_time deadline, done<void>)> renew;
    std::function<void(std::uint64_t lease, base::mono_time deadline, done<void>)> revoke;
};

} // namespace gooseberrywood::store

#endif
