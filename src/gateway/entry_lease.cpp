#include "gateway/entry_lease.hpp"

#include "gateway/gateway.hpp"

#include <utility>

namespace gooseberrywood::gateway
{

void with_entry_lease(gateway& self, entry_lease& lease, entry_lifetime const& lifetime,
                      base::mono_time deadline, std::function<void(std::uint64_t)> then)
{
    auto const now = base::mono_now();
    if (now + lifetime.least < lease.ends_at)
    {
        then(lease.id);
        return;
    }
    self.store.grant(lifetime.most, deadline,
                     [&lease, ends_at = now + lifetime.most,
                      then = std::move(then)](base::result<std::uint64_t> const& granted)
                     {
                         if (granted)
                         {
                             lease = {*granted, ends_at};
                         }
                         then(granted.value_or(0));
                     });
}

} // namespace gooseberrywood::gateway
