#include "lease/advance.hpp"

#include <utility>

namespace gooseberrywood::lease
{

namespace
{

/// Wraps a handler so that it is skipped if the leadership object no longer exists.
template <class T, class Handler>
provider::done<T> guarded(std::shared_ptr<leadership> const& leader,
                          std::function<base::mono_time()> const& clock, Handler handler)
{
    return [weak = std::weak_ptr(leader), clock, handler](base::result<T> const& outcome)
    {
        if (auto const alive = weak.lock())
        {
            handler(*alive, outcome, clock());
        }
    };
}

} // namespace

void advance(std::shared_ptr<leadership> const& leader, provider::store const& store,
             std::function<base::mono_time()> const& clock)
{
    auto const next = next_step(*leader, clock());
    if (!next)
    {
        return;
    }
    auto const& options = leader->options;
    switch (next->kind)
    {
    case step_kind::acquire:
        store.acquire_lease(options.lease, next->holder, options.lease_duration, next->deadline,
                            guarded<std::uint64_t>(leader, clock, on_acquired));
        break;
    case step_kind::read_back:
        store.read_lease(options.lease, next->deadline,
                         guarded<provider::lease_state>(leader, clock, on_read_back));
        break;
    case step_kind::renew:
        store.renew_lease(options.lease, next->holder, next->fencing, options.lease_duration,
                          next->deadline, guarded<void>(leader, clock, on_renewed));
        break;
    case step_kind::release:
        store.release_lease(options.lease, next->holder, next->fencing, next->deadline,
                            guarded<void>(leader, clock,
                                          [](leadership& alive, base::result<void> const&,
                                             base::mono_time now) { on_released(alive, now); }));
        break;
    }
}

} // namespace gooseberrywood::lease
