#include "at_ms.hpp"
#include "gateway/gateway.hpp"
#include "gateway/unsent_requests.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;

namespace
{

fleet::upstream_record make_record(std::string id)
{
    fleet::upstream_record record;
    record.id = std::move(id);
    record.service = "desk";
    record.address = "127.0.0.1:1";
    record.domain = "krapina";
    record.started_ms = 5;
    return record;
}

} // namespace

SCENARIO("a chosen request is not sent once its upstream no longer serves")
{
    gateway::gateway self;
    auto record = make_record("a");
    (void)fleet::apply_list(self.pool, std::vector{record}, at_ms(100));
    auto const chosen = fleet::incarnation_of(record);
    auto const may_send = [&]
    {
        return gateway::may_still_send(self, chosen, "desk");
    };
    auto const list = [&](std::vector<fleet::upstream_record> const& listed)
    {
        (void)fleet::apply_list(self.pool, listed, at_ms(200));
    };
    REQUIRE(may_send());
    WHEN("it begins to drain")
    {
        record.draining = true;
        list({record});
        CHECK_FALSE(may_send());
    }
    WHEN("it states that it leaves")
    {
        (void)fleet::note_leaving(self.pool, chosen, at_ms(200));
        CHECK_FALSE(may_send());
    }
    WHEN("it is gone from the list")
    {
        list({});
        CHECK_FALSE(may_send());
    }
    WHEN("it is missing after an outage of the store")
    {
        self.pool.keep_missing_until = at_ms(2000);
        list({});
        CHECK_FALSE(may_send());
    }
    WHEN("another incarnation has its id")
    {
        record.started_ms = 6;
        list({record});
        CHECK_FALSE(may_send());
    }
    WHEN("its address belongs to another service now")
    {
        record.service = "engines";
        list({record});
        CHECK_FALSE(may_send());
    }
    WHEN("its failure domain is out")
    {
        self.pool.domains_out.insert("krapina");
        CHECK_FALSE(may_send());
    }
    WHEN("it is only suspended")
    {
        fleet::note_failure(self.pool, "a", at_ms(250));
        CHECK(may_send());
    }
}
