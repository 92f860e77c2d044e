#include "gateway/gateway.hpp"
#include "gateway/list_exchange.hpp"
#include "gateway/peer_messages.hpp"
#include "gateway/refresh.hpp"
#include "platform/protocol_names.hpp"
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

/// Runs the main loop until the condition holds, for at most five seconds.
/// \returns whether the condition holds.
template <class Condition>
bool run_until(Condition const& condition)
{
    bool timed_out = false;
    auto const timer = base::at(base::mono_now() + 5s, [&] { timed_out = true; });
    while (!condition() && !timed_out)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    return condition();
}

void run_for(base::duration duration)
{
    bool is_over = false;
    auto const timer = base::at(base::mono_now() + duration, [&] { is_over = true; });
    while (!is_over)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
}

/// A store that holds the shared entries of all gateways.
struct fake_store
{
    std::vector<store::item> items;
    /// Entries of upstreams.
    std::vector<store::item> upstreams;
    bool is_down = false;
};

/// A gateway on a fake store that counts its reads of the shared entries.
struct test_gateway
{
    test_gateway(std::string const& host, double processors, fake_store& store)
    {
        self.settings.host = host;
        self.settings.domain = "d";
        self.settings.listen_peers = "127.0.0.1:0";
        self.settings.processor_share = processors;
        self.stopping = true;
        self.store.list = [this, &store](std::string const& prefix, std::string const&,
                                         base::mono_time, store::done<store::page> const& then)
        {
            reads += prefix == rollout::shared_prefix ? 1 : 0;
            upstream_reads += prefix == platform::store_keys::upstream_prefix ? 1 : 0;
            // Answers from the loop, as the store client does.
            answers.push_back(base::soon(
                [&store, prefix, then]
                {
                    if (store.is_down)
                    {
                        then(base::fail(base::result_code::store_unavailable, "down"));
                        return;
                    }
                    bool const is_shared = prefix == rollout::shared_prefix;
                    bool const is_upstreams = prefix == platform::store_keys::upstream_prefix;
                    then(store::page{is_shared      ? store.items
                                     : is_upstreams ? store.upstreams
                                                    : std::vector<store::item>(),
                                     false});
                }));
        };
        REQUIRE(gateway::start_peer_messages(self).has_value());
    }
    test_gateway(test_gateway const&) = delete;
    test_gateway& operator=(test_gateway const&) = delete;

    [[nodiscard]] store::item entry() const
    {
        rollout::member const own{self.settings.host, 1, self.peers.address,
                                  self.settings.processor_share, self.settings.domain};
        return {rollout::member_key(own.host), rollout::encode(own), 1};
    }

    std::vector<base::event_source> answers;
    gateway::gateway self;
    int reads = 0;
    int upstream_reads = 0;
};

} // namespace

SCENARIO("one gateway reads the lists of the store for another")
{
    fake_store store;
    test_gateway reader("reader", 0.5, store);
    test_gateway follower("follower", 0.1, store);
    store.items = {follower.entry(), reader.entry()};
    gateway::start_refresh(reader.self);
    gateway::start_refresh(follower.self);
    REQUIRE(run_until([&] { return follower.self.shared.members.size() == 2; }));
    auto const reads_before = follower.reads;
    THEN("changes reach the follower without reads of its own")
    {
        store.items.push_back({rollout::member_key("third"), store.items[0].value, 5});
        CHECK(run_until([&] { return follower.self.shared.members.size() == 3; }));
        store.items.pop_back();
        CHECK(run_until([&] { return follower.self.shared.members.size() == 2; }));
        CHECK(follower.reads == reads_before);
        CHECK(reader.reads > 1);
    }
    THEN("the read time known to the follower is never later than the actual read")
    {
        // Guards against trusting withdrawn keys and ended jobs for too long.
        run_for(1200ms);
        CHECK(follower.self.shared.read_at <= reader.self.shared.read_at + 1ms);
        CHECK(base::mono_now() - follower.self.shared.read_at < 1500ms);
    }
    WHEN("the reader can't be reached any more")
    {
        reader.self.peers.connections.clear();
        reader.self.peers.listening.reset();
        THEN("the follower reads the store itself")
        {
            CHECK(run_until([&] { return follower.reads > reads_before; }));
            CHECK(follower.self.lists.avoided_until.contains("reader"));
        }
    }
    WHEN("the reader accepts requests and does not answer")
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
        // Guards against a hundred gateways that all read a store that none of them can reach.
        store.is_down = true;
        REQUIRE(run_until([&] { return follower.reads > reads_before; }));
        auto const reads_after_first = follower.reads;
        run_for(900ms);
        THEN("the follower leaves the reads to the reader for a while")
        {
            CHECK(follower.reads - reads_after_first <= 1);
        }
        THEN("the follower reads the list once the store is available again")
        {
            store.is_down = false;
            store.items.push_back({rollout::member_key("third"), store.items[0].value, 5});
            CHECK(run_until([&] { return follower.self.shared.members.size() == 3; }));
        }
    }
}

SCENARIO("large entries of another writer don't keep gateways from following a list")
{
    // Guards against lists that are seconds old because they don't fit in a frame.
    fake_store store;
    test_gateway reader("reader", 0.5, store);
    test_gateway follower("follower", 0.1, store);
    store.items = {follower.entry(), reader.entry()};
    gateway::start_refresh(reader.self);
    gateway::start_refresh(follower.self);
    REQUIRE(run_until([&] { return follower.self.shared.members.size() == 2; }));
    std::string const large(1'200'000, 'x');
    WHEN("they are among the upstreams")
    {
        std::string const upstream =
            R"({"service":"s","address":"10.0.0.9:80","zone":"d","version":"v1","slots":8,)"
            R"("state":"ready","cold_remaining_ms":0})";
        store.upstreams = {
            {"servers/a", upstream, 1}, {"servers/odd-1", large, 2}, {"servers/odd-2", large, 3}};
        REQUIRE(run_until([&] { return follower.self.pool.upstreams.size() == 1; }));
        auto const reads_before = follower.upstream_reads;
        store.upstreams.push_back({"servers/z", upstream, 4});
        THEN("the follower hears of changes through the reader")
        {
            CHECK(run_until([&] { return follower.self.pool.upstreams.size() == 2; }));
            CHECK(follower.upstream_reads == reads_before);
        }
    }
}

SCENARIO("a gateway requests the results of a job from its owner")
{
    // Guards against a read of the store for each call of each trainer.
    fake_store store;
    test_gateway owner("owner", 0.5, store);
    test_gateway reader("reader", 0.1, store);
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
    auto const request_from = [&](std::uint64_t position)
    {
        is_answered = false;
        auto const found = gateway::find_owner(reader.self, "job", base::mono_now());
        REQUIRE(found.has_value());
        gateway::request_list(reader.self, *found,
                              {0, rollout::result_prefix("job"), 0, position, {}},
                              [&](auto const& received)
                              {
                                  answer = received;
                                  is_answered = true;
                              });
        REQUIRE(run_until([&] { return is_answered; }));
    };
    THEN("it receives those from a position on, keyed so that a read of the store continues after "
         "them")
    {
        request_from(1);
        REQUIRE(answer->available);
        REQUIRE(answer->changes.items.size() == 1);
        auto const& item = answer->changes.items[0];
        CHECK(item.key == rollout::result_key("job", 2));
        CHECK(rollout::decode_results(item.value)->size() == 2);
    }
    THEN("it receives an empty answer when there are no more")
    {
        request_from(3);
        CHECK(answer->available);
        CHECK(answer->changes.items.empty());
    }
    WHEN("the lease of the owner may have expired")
    {
        owner.self.lease.valid_until = base::mono_now() - 1s;
        THEN("the owner does not answer with results, since another owner may have stored more")
        {
            request_from(1);
            CHECK_FALSE(answer->available);
        }
    }
    WHEN("the outcome of a write of the owner is unknown for so long that others show its results")
    {
        job.listed_complete_until = base::mono_now() - 1ms;
        THEN("the owner does not answer with fewer results than are stored")
        {
            request_from(3);
            CHECK_FALSE(answer->available);
        }
    }
    WHEN("a write of the owner has just begun")
    {
        job.listed_complete_until = base::mono_now() + 60s;
        THEN("the owner answers with the results that it knows to be stored")
        {
            request_from(1);
            CHECK(answer->available);
        }
    }
    WHEN("the owner does not answer")
    {
        owner.self.peers.on_message = [](wire::connection&, wire::message const&) {
        };
        request_from(1);
        THEN("it is avoided for a while")
        {
            CHECK_FALSE(answer.has_value());
            CHECK_FALSE(gateway::find_owner(reader.self, "job", base::mono_now()).has_value());
        }
    }
}
