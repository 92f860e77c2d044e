#include "lease.hpp"
#include "process/support/http_client.hpp"
#include "process/support/process.hpp"
#include "provider.hpp"

#include <doctest/doctest.h>

#include <signal.h>

#include <memory>
#include <optional>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using base::result_code;

namespace
{

constexpr base::duration call_time = 5s;

base::mono_time in(base::duration from_now)
{
    return base::mono_now() + from_now;
}

/// Runs the main loop until a call is done.
template <class T, class Call>
base::result<T> await(Call&& call)
{
    auto const got = std::make_shared<std::optional<base::result<T>>>();
    call([got](base::result<T> const& outcome) { *got = outcome; });
    while (!got->has_value())
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    return **got;
}

struct fixture
{
    test::process standin{"standin_platform", {"--checks_fencing"}};
    std::string url = "http://127.0.0.1:" + std::to_string(test::wait_listening(standin));
    provider::services services = *provider::make_http_services(url);

    void fault(std::string const& kind, std::string const& mode) const
    {
        test::post_json(url + "/standin/faults",
                        nlohmann::json::array({{{"kind", kind}, {"mode", mode}}}));
    }
    void no_faults() const
    {
        test::post_json(url + "/standin/faults", nlohmann::json::array());
    }
    [[nodiscard]] base::result<provider::versioned_value>
    read(base::duration within = call_time) const
    {
        return await<provider::versioned_value>(
            [&](auto const& done) { services.store.read("config", in(within), done); });
    }
    [[nodiscard]] base::result<std::uint64_t> swap(std::uint64_t expected, std::string const& value,
                                                   base::duration within = call_time) const
    {
        return await<std::uint64_t>(
            [&](auto const& done)
            { services.store.compare_and_swap("config", expected, value, in(within), done); });
    }
    [[nodiscard]] base::result<std::uint64_t> acquire(std::string const& holder) const
    {
        return await<std::uint64_t>(
            [&](auto const& done)
            { services.store.acquire_lease("leader", holder, 60s, in(call_time), done); });
    }
    [[nodiscard]] base::result<void> renew(std::string const& holder, std::uint64_t fencing) const
    {
        return await<void>(
            [&](auto const& done)
            { services.store.renew_lease("leader", holder, fencing, 60s, in(call_time), done); });
    }
    [[nodiscard]] base::result<void> order(std::uint64_t fencing) const
    {
        provider::upstream_order const wanted{"o-1", fencing, "krapina", "planner-lm", 3};
        return await<void>([&](auto const& done)
                           { services.orders.send(wanted, in(call_time), done); });
    }
};

template <class T>
result_code code_of(base::result<T> const& outcome)
{
    return outcome ? result_code::ok : outcome.error().code;
}

} // namespace

// Guards against an error that says "nothing was written" after a write, and against a lost answer
// that passes for a refusal.
TEST_CASE_FIXTURE(fixture, "Scenario: writes to a store with faults")
{
    // Any bytes, also those that are not UTF-8 and those that end a C string.
    std::string const first("a\0\xff\n", 4);
    auto const revision = swap(0, first);
    REQUIRE(revision.has_value());
    CHECK(*read() == provider::versioned_value{first, *revision});

    WHEN("the expected revision is an old one")
    {
        REQUIRE(swap(*revision, "b").has_value());
        THEN("the write is refused and changes nothing")
        {
            CHECK(code_of(swap(*revision, "c")) == result_code::compare_failed);
            CHECK(read()->value == "b");
        }
    }
    WHEN("the answer is lost after the effect")
    {
        fault("store_compare_and_swap", "drop");
        auto const outcome = swap(*revision, "b");
        no_faults();
        THEN("the outcome is unknown, the write has happened, and it was sent only once")
        {
            CHECK(code_of(outcome) == result_code::store_outcome_unknown);
            CHECK(read()->value == "b");
            CHECK(test::get_json(url + "/standin/calls").at("store_compare_and_swap") == 2);
        }
    }
    WHEN("the store refuses all calls")
    {
        fault("*", "refuse");
        THEN("nothing is written")
        {
            CHECK(code_of(swap(*revision, "b")) == result_code::store_unavailable);
            CHECK(code_of(read()) == result_code::store_unavailable);
            no_faults();
            CHECK(read()->value == first);
        }
    }
    WHEN("the store hangs")
    {
        fault("*", "hang");
        THEN("each call ends at its deadline, and a write has an unknown outcome")
        {
            auto const begin = base::mono_now();
            CHECK(code_of(swap(*revision, "b", 100ms)) == result_code::store_outcome_unknown);
            CHECK(code_of(read(100ms)) == result_code::store_unavailable);
            CHECK(base::mono_now() - begin >= 200ms);
            CHECK(base::mono_now() - begin < call_time);
        }
    }
    WHEN("the store is gone")
    {
        test::send_signal(standin, SIGKILL);
        test::wait_exit(standin);
        // The first call may still meet the kept connection.
        std::ignore = swap(*revision, "b");
        THEN("a call that never reached it has a certain outcome")
        {
            CHECK(code_of(swap(*revision, "b")) == result_code::store_unavailable);
        }
    }
}

TEST_CASE_FIXTURE(fixture, "Scenario: a watch")
{
    auto const revision = *swap(0, "a");
    WHEN("the key is written")
    {
        std::optional<base::result<provider::versioned_value>> seen;
        services.store.watch("config", revision, in(call_time),
                             [&seen](auto const& outcome) { seen = outcome; });
        auto const is_waiting = [this]
        {
            g_main_context_iteration(nullptr, FALSE);
            return test::get_json(url + "/standin/watches").at("waiting") == 1;
        };
        REQUIRE(test::eventually(is_waiting));
        auto const next = *swap(revision, "b");
        while (!seen)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
        THEN("it ends with the new value and has counted once")
        {
            CHECK(**seen == provider::versioned_value{"b", next});
            auto const counts = services.calls();
            CHECK(counts.at(static_cast<std::size_t>(provider::call_kind::store_watch)) == 1);
        }
    }
    WHEN("the key is not written")
    {
        auto const watch = [&](base::duration within)
        {
            return await<provider::versioned_value>(
                [&](auto const& done)
                { services.store.watch("config", revision, in(within), done); });
        };
        THEN("it ends with timeout, so that it differs from an outage")
        {
            CHECK(code_of(watch(500ms)) == result_code::timeout);
            fault("store_watch", "hang");
            CHECK(code_of(watch(500ms)) == result_code::store_unavailable);
        }
    }
}

TEST_CASE_FIXTURE(fixture, "Scenario: leases and fenced calls")
{
    auto const first = acquire("a");
    REQUIRE(first.has_value());
    CHECK(code_of(acquire("b")) == result_code::compare_failed);
    CHECK(renew("a", *first).has_value());
    CHECK(order(*first).has_value());

    WHEN("the lease goes to another holder")
    {
        auto const released = await<void>(
            [&](auto const& done)
            { services.store.release_lease("leader", "a", *first, in(call_time), done); });
        REQUIRE(released.has_value());
        auto const second = acquire("b");
        REQUIRE(second.has_value());
        THEN("its number is higher, and the first holder can neither renew nor order")
        {
            CHECK(*second > *first);
            CHECK(code_of(renew("a", *first)) == result_code::lease_lost);
            CHECK(order(*second).has_value());
            CHECK(code_of(order(*first)) == result_code::fenced);
        }
    }
    WHEN("the answer to an order is lost")
    {
        fault("order", "drop");
        THEN("its outcome is unknown and it was sent once")
        {
            CHECK(code_of(order(*first)) == result_code::outcome_unknown);
            CHECK(test::get_json(url + "/standin/orders").size() == 2);
        }
    }
    WHEN("the answer to an acquisition is lost")
    {
        fault("lease_acquire", "drop");
        CHECK(code_of(acquire("a")) == result_code::store_outcome_unknown);
        THEN("reading the lease tells that it was granted")
        {
            auto const state = await<provider::lease_state>(
                [&](auto const& done)
                { services.store.read_lease("leader", in(call_time), done); });
            CHECK(*state == provider::lease_state{"a", *first + 1});
        }
    }
}

TEST_CASE_FIXTURE(fixture, "Scenario: hosts, usage and weights")
{
    GIVEN("a host list that lags")
    {
        test::post_json(url + "/standin/host_lag", {{"lag_us", 1000000}});
        test::post_json(url + "/standin/hosts",
                        nlohmann::json::array({{{"host", "h1"},
                                                {"domain", "zabok"},
                                                {"address", "127.0.0.1"},
                                                {"wire_address", "127.0.0.1:7"},
                                                {"leaving", true}}}));
        auto const hosts = [this]
        {
            return *await<std::vector<provider::host_info>>(
                [&](auto const& done) { services.hosts.read(in(call_time), done); });
        };
        THEN("the change shows later")
        {
            CHECK(hosts().empty());
            CHECK(test::eventually([&] { return !hosts().empty(); }));
            CHECK(hosts().at(0) ==
                  provider::host_info{"h1", "zabok", "127.0.0.1", "127.0.0.1:7", true});
        }
    }
    GIVEN("a usage report")
    {
        provider::usage_report const report{
            base::wall_time(60s), base::wall_time(120s), 4, {{"lepoglava", "planner-lm", 1, 2, 3}}};
        THEN("it arrives with its figures")
        {
            CHECK(await<void>([&](auto const& done)
                              { services.usage.report(report, in(call_time), done); })
                      .has_value());
            auto const taken = test::get_json(url + "/standin/usage").at(0);
            CHECK(taken.at("begin_us") == 60000000);
            CHECK(taken.at("lines").at(0).at("generated_tokens") == 3);
        }
    }
    GIVEN("a version of weights")
    {
        test::post_json(url + "/standin/weights",
                        {{"model", "planner-lm"}, {"version", 7}, {"bytes", 10}});
        auto const versions = *await<std::vector<provider::weight_version>>(
            [&](auto const& done)
            { services.weights.versions("planner-lm", in(call_time), done); });
        THEN("its parts can be read up to its end")
        {
            REQUIRE(versions == std::vector{provider::weight_version{"planner-lm", 7, 10}});
            auto const part = await<std::string>(
                [&](auto const& done)
                { services.weights.read(versions.at(0), 8, 5, in(call_time), done); });
            CHECK(*part == "ww");
        }
    }
}

// Guards against a leader that acts on while the store is silent, or that misses a grant whose
// answer was lost.
TEST_CASE_FIXTURE(fixture, "Scenario: a leader whose store fails")
{
    auto const leader = std::make_shared<lease::leadership>();
    leader->options = {"leader", "host-1/77", 2s, 1s};
    auto const may_act = [&leader]
    {
        return lease::may_act(*leader, base::mono_now());
    };
    auto const run_until = [&](bool wanted)
    {
        return test::eventually(
            [&]
            {
                lease::advance(leader, services.store, base::mono_now);
                g_main_context_iteration(nullptr, FALSE);
                return may_act() == wanted;
            });
    };
    fault("lease_acquire", "drop");
    REQUIRE(run_until(true));
    CHECK(leader->fencing == 1);
    CHECK(leader->acquisitions == 1);

    WHEN("the store stands still for longer than the lease")
    {
        test::send_signal(standin, SIGSTOP);
        auto const last_deadline = leader->deadline;
        REQUIRE(run_until(false));
        THEN("the leader stops at its deadline, and leads again once the store is back")
        {
            CHECK(base::mono_now() >= last_deadline);
            test::send_signal(standin, SIGCONT);
            no_faults();
            CHECK(run_until(true));
        }
    }
}
