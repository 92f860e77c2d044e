#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace gooseberrywood::test;

SCENARIO("a batch job whose id can't be part of a key is refused and harms no other")
{
    // Guards against processes that end while they write the message to the store.
    site_service service(1);
    auto const& gateway = service.gateways[0];
    std::vector<int> const events(4, 100);
    REQUIRE(submit(gateway, "job", events) == 202);
    std::vector<std::string> const odd_ids = {"\xFF", "a\x80",    "\xC5\xBE",           "a b",
                                              "a/b",  "job/spec", std::string(161, 'x')};
    for (auto const& id : odd_ids)
    {
        CAPTURE(id);
        auto const answer = call_gateway(gateway, "POST", "/t/submit", "train.example", id,
                                         make_batch_job("other", {1}));
        CHECK(answer.status == 400);
    }
    CHECK(submit(gateway, std::string(160, 'x'), {1}) == 202);
    check_whole(wait_results(gateway, "job", events.size()), "job", events);
}
