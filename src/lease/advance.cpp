#include "lease/advance.hpp"

#include <utility>

namespace gooseberrywood::lease
{

namespace
{

/// Passes an outcome on, unless the process has dropped its leadership.
template <class T, class Take>
provider::done<T> taking(std::shared_ptr<leadership> const& of,
                         std::function<base::mono_time()> const& clock, Take take)
{
    return [weak = std::weak_ptr(of), clock, take](base::result<T> const& outcome)
    {
        if (auto const alive = weak.lock())
        {
            take(*alive, outcome, clock());
        }
    };
}

} // namespace

void advance(std::shared_ptr<leadership> const& of, provider::store const& store,
             std::function<base::mono_time()> const& clock)
{
    auto const next = next_step(*of, clock());
    if (!next)
    {
        return;
    }
    auto const& options = of->options;
    switch (next->kind)
    {
    case step_kind::acquire:
        store.acquire_lease(options.lease, next->holder, options.length, next->deadline,
                            taking<std::uint64_t>(of, clock, on_acquired));
        break;
    case step_kind::read_back:
        store.read_lease(options.lease, next->deadline,
                         taking<provider::lease_state>(of, clock, on_read_back));
        break;
    case step_kind::renew:
        store.renew_lease(options.lease, next->holder, next->fencing, options.length,
                          next->deadline, taking<void>(of, clock, on_renewed));
        break;
    case step_kind::release:
        store.release_lease(options.lease, next->holder, next->fencing, next->deadline,
                            taking<void>(of, clock,
                                         [](leadership& alive, base::result<void> const&,
                                            base::mono_time now) { on_released(alive, now); }));
        break;
    }
}

} // namespace gooseberrywood::lease
