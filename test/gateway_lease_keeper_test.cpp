#include "gateway/gateway.hpp"
#include "gateway/lease_keeper.hpp"
#include "run_loop.hpp"

#include <doctest/doctest.h>

#include <chrono>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using test::run_for;

SCENARIO("a gateway limits its lease calls while the store is down")
{
    // Guards against a retry at each lease check: during an outage, each of a hundred gateways
    // would call the store seven times a second.
    gateway::gateway self;
    int grants = 0;
    int renewals = 0;
    bool is_down = true;
    self.store.grant = [&](base::duration, base::mono_time, store::done<std::uint64_t> const& then)
    {
        ++grants;
        if (is_down)
        {
            then(base::fail(base::result_code::store_unavailable, "down"));
            return;
        }
        then(std::uint64_t{5});
    };
    self.store.renew = [&](std::uint64_t, base::mono_time, store::done<void> const& then)
    {
        ++renewals;
        then(base::fail(base::result_code::store_unavailable, "down"));
    };
    self.store.read = [](std::string const&, base::mono_time,
                         store::done<std::optional<store::item>> const&) {
    };
    WHEN("a gateway has no lease")
    {
        gateway::start_lease(self);
        run_for(2s);
        THEN("it requests one less than twice a second")
        {
            CHECK(grants >= 2);
            CHECK(grants <= 4);
        }
        AND_WHEN("the store is available again")
        {
            is_down = false;
            run_for(1s);
            THEN("the lease is granted within a second")
            {
                CHECK(gateway::has_lease(self, base::mono_now()));
            }
        }
    }
    WHEN("a gateway has a lease that may expire")
    {
        self.lease.id = 5;
        self.lease.valid_until = base::mono_now() + 2s;
        gateway::start_lease(self);
        run_for(2s);
        THEN("it tries to renew it more often, but not at each lease check")
        {
            CHECK(renewals >= 4);
            CHECK(renewals <= 8);
        }
    }
}
