#include "gateway/gateway.hpp"
#include "gateway/list_exchange.hpp"
#include "gateway/peer_messages.hpp"
#include "gateway/refresh.hpp"
#include "rollout/result_chunk.hpp"
#include "rollout/store_keys.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

/// Runs the main loop until something holds, for a few seconds at most.
template <class Condition>
bool run_until(Condition const& holds)
{
    bool is_late = false;
    auto const limit = base::at(base::mono_now() + 5s, [&] { is_late = true; });
    while (!holds() && !is_late)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    return holds();
}

void run_for(base::duration time)
{
    bool is_over = false;
    auto const limit = base::at(base::mono_now() + time, [&] { is_over = true; });
    while (!is_over)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
}

/// Entries that all gateways share, as the store holds them.
struct shared_store
{
    std::vector<store::item> items;
    bool is_down = false;
};

/// A gateway whose reads of the shared entries are counted.
struct listed_gateway
{
    listed_gateway(std::string const& host, double processors, shared_store& of)
    {
        self.settings.host = host;
        self.settings.domain = "d";
        self.settings.listen_peers = "127.0.0.1:0";
        self.settings.processor_share = processors;
        self.stopping = true;
        self.store.list = [this, &of](std::string const& prefix, std::string const&,
                                      base::mono_time, store::done<store::page> const& then)
        {
            reads += prefix == rollout::shared_prefix ? 1 : 0;
            // The store answers from the loop.
            answers.push_back(base::soon(
                [&of, prefix, then]
                {
                    if (of.is_down)
                    {
                        then(base::fail(base::result_code::store_unavailable, "down"));
                        return;
                    }
                    then(store::page{prefix == rollout::shared_prefix ? of.items
                                                                      : std::vector<store::item>(),
                                     false});
                }));
        };
        REQUIRE(gateway::start_peer_messages(self).has_value());
    }
    listed_gateway(listed_gateway const&) = delete;
    listed_gateway& operator=(listed_gateway const&) = delete;

    [[nodiscard]] store::item entry() const
    {
        rollout::member const own{self.settings.host, 1, self.peers.address,
                                  self.settings.processor_share, self.settings.domain};
        return {rollout::member_key(own.host), rollout::encode(own), 1};
    }

    std::vector<base::event_source> answers;
    gateway::gateway self;
    int reads = 0;
};

} // namespace

SCENARIO("one gateway reads the lists of the store for another one")
{
    shared_store store;
    listed_gateway reader("reader", 0.5, store);
    listed_gateway follower("follower", 0.1, store);
    store.items = {follower.entry(), reader.entry()};
    gateway::start_refresh(reader.self);
    gateway::start_refresh(follower.self);
    REQUIRE(run_until([&] { return follower.self.shared.members.size() == 2; }));
    auto const reads_before = follower.reads;
    THEN("changes reach it without reads of its own")
    {
        store.items.push_back({rollout::member_key("third"), store.items[0].value, 5});
        CHECK(run_until([&] { return follower.self.shared.members.size() == 3; }));
        store.items.pop_back();
        CHECK(run_until([&] { return follower.self.shared.members.size() == 2; }));
        CHECK(follower.reads == reads_before);
        CHECK(reader.reads > 1);
    }
    THEN("what it takes for the time of the read is never later than the read")
    {
        // Guards against withdrawn keys and ended jobs that are trusted for too long.
        run_for(1200ms);
        CHECK(follower.self.shared.read_at <= reader.self.shared.read_at + 1ms);
        CHECK(base::mono_now() - follower.self.shared.read_at < 1500ms);
    }
    WHEN("the reader is gone")
    {
        reader.self.peers.open.clear();
        reader.self.peers.listening.reset();
        THEN("the follower reads the store itself")
        {
            CHECK(run_until([&] { return follower.reads > reads_before; }));
            CHECK(follower.self.lists.avoided_until.contains("reader"));
        }
    }
    WHEN("the reader takes requests and does not answer")
    {
        reader.self.peers.on_message = [](wire::connection&, wire::message const&) {
        };
        THEN("the follower reads the store itself")
        {
            CHECK(run_until([&] { return follower.reads > reads_before; }));
        }
    }
    WHEN("the store is down")
    {
        // Guards against a hundred gateways that press on a store which none of them reaches.
        store.is_down = true;
        REQUIRE(run_until([&] { return follower.reads > reads_before; }));
        auto const reads_at_first = follower.reads;
        run_for(900ms);
        THEN("the follower leaves it to the reader for a while")
        {
            CHECK(follower.reads - reads_at_first <= 1);
        }
        THEN("it sees the store's return")
        {
            store.is_down = false;
            store.items.push_back({rollout::member_key("third"), store.items[0].value, 5});
            CHECK(run_until([&] { return follower.self.shared.members.size() == 3; }));
        }
    }
}

SCENARIO("a gateway asks the owner of a job for its results")
{
    // Guards against a read of the store for each call of each trainer.
    shared_store store;
    listed_gateway owner("owner", 0.5, store);
    listed_gateway reader("reader", 0.1, store);
    auto const mark = rollout::owner_id("owner", 1);
    reader.self.shared.members["owner"] = {"owner", 1, owner.self.peers.address, 0.5, "d"};
    reader.self.shared.owners["job"] = {rollout::owner_key("job"), mark, 7};
    owner.self.lease.id = 1;
    owner.self.lease.valid_until = base::mono_now() + 60s;
    auto& job = owner.self.jobs["job"];
    job.owner_revision = 7;
    for (std::string const id : {"s1", "s2", "s3"})
    {
        rollout::sample_result result;
        result.id = id;
        job.listed.push_back(result);
    }
    std::optional<wire::list_answer> answer;
    bool is_answered = false;
    auto const ask = [&](std::uint64_t position)
    {
        is_answered = false;
        auto const asked = gateway::find_owner(reader.self, "job", base::mono_now());
        REQUIRE(asked.has_value());
        gateway::request_list(reader.self, *asked,
                              {0, rollout::result_prefix("job"), 0, position, {}},
                              [&](auto const& got)
                              {
                                  answer = got;
                                  is_answered = true;
                              });
        REQUIRE(run_until([&] { return is_answered; }));
    };
    THEN("it is told those from a position on, under the key at which the store goes on")
    {
        ask(1);
        REQUIRE(answer->available);
        REQUIRE(answer->changes.items.size() == 1);
        auto const& told = answer->changes.items[0];
        CHECK(told.key == rollout::result_key("job", 2));
        CHECK(rollout::decode_results(told.value)->size() == 2);
    }
    THEN("it is told when there are no more")
    {
        ask(3);
        CHECK(answer->available);
        CHECK(answer->changes.items.empty());
    }
    WHEN("the lease of the owner may have ended")
    {
        owner.self.lease.valid_until = base::mono_now() - 1s;
        THEN("the owner tells nothing, since another one may have stored more")
        {
            ask(1);
            CHECK_FALSE(answer->available);
        }
    }
    WHEN("the owner does not answer")
    {
        owner.self.peers.on_message = [](wire::connection&, wire::message const&) {
        };
        ask(1);
        THEN("it is not asked again for a while")
        {
            CHECK_FALSE(answer.has_value());
            CHECK_FALSE(gateway::find_owner(reader.self, "job", base::mono_now()).has_value());
        }
    }
}
