#include "routing/attempt_log.hpp"

#include "property.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <set>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using base::result_code;
using routing::decision_kind;

namespace
{

base::mono_time const start{1h};

/// Simulates three agents and one entry on a virtual clock. Frames have random delays, so that they
/// are reordered, and may be duplicated; connections break and lose the frames in transit;
/// upstreams crash; agents restart and lose their ledger.
class simulation
{
public:
    explicit simulation(std::uint64_t seed) : random(seed)
    {
        for (std::size_t i = 0; i < 40; ++i)
        {
            auto const arrival = start + std::chrono::milliseconds(random() % 2000);
            auto const deadline = arrival + 50ms + std::chrono::milliseconds(random() % 10000);
            requests.push_back({routing::start_log(chance(50), chance(70), deadline)});
            requests.back().total = static_cast<std::uint32_t>(random() % 30);
            schedule(arrival - start, [this, i] { place(i); });
            schedule(deadline - start,
                     [this, i] { apply(i, routing::on_timer(requests[i].log, now)); });
            if (chance(10))
            {
                schedule(arrival - start + std::chrono::milliseconds(random() % 3000),
                         [this, i]
                         {
                             auto& log = requests[i].log;
                             apply(i, chance(50)   ? routing::on_canceled(log)
                                      : chance(50) ? routing::on_key_withdrawn(log)
                                                   : routing::on_configuration_stale(log));
                         });
            }
        }
        for (int i = 0; i < 30; ++i)
        {
            schedule(std::chrono::milliseconds(random() % 8000),
                     [this] { disconnect(random() % agents.size()); });
        }
    }

    void run()
    {
        while (!events.empty())
        {
            auto event = events.extract(events.begin());
            now = event.key();
            event.mapped()();
        }
        for (auto const& request : requests)
        {
            RC_ASSERT(request.log.phase == routing::request_phase::done);
            RC_ASSERT(request.ended_at <= request.log.deadline);
            RC_ASSERT(request.log.idempotent || request.runs <= 1);
            RC_ASSERT(!request.not_run || request.runs == 0);
            completed += request.completed ? 1 : 0;
            refused += request.not_run ? 1 : 0;
            retried += request.log.attempt > 1 ? 1 : 0;
        }
    }

    int completed = 0;
    int refused = 0;
    int retried = 0;

private:
    struct request
    {
        routing::attempt_log log;
        std::uint32_t total = 0;
        int runs = 0;
        std::size_t agent = 0;
        std::uint64_t agent_incarnation = 0;
        bool completed = false;
        bool not_run = false;
        base::mono_time ended_at{};
    };

    struct known_attempt
    {
        std::uint32_t attempt = 0;
        bool tombstone = false;
        bool has_started = false;
    };

    struct agent
    {
        std::uint64_t connection = 1;
        std::uint64_t incarnation = 1;
        bool connected = true;
        std::map<std::size_t, known_attempt> ledger;
    };

    base::mono_time now = start;
    std::mt19937_64 random;
    std::multimap<base::mono_time, std::function<void()>> events;
    std::vector<request> requests;
    std::array<agent, 3> agents;
    routing::retry_budget budget;

    bool chance(int percent)
    {
        return random() % 100 < static_cast<unsigned>(percent);
    }

    routing::retry_context context()
    {
        return {budget, random};
    }

    void schedule(base::duration delay, std::function<void()> call)
    {
        events.emplace(now + delay, std::move(call));
    }

    /// Delivers a frame once or twice, unless the connection breaks in between.
    void send_frame(std::size_t agent_index, std::function<void()> const& deliver)
    {
        for (int copies = chance(10) ? 2 : 1; copies > 0; --copies)
        {
            schedule(base::duration(500 + (chance(20) ? random() % 50'000 : 0)),
                     [this, agent_index, deliver, connection = agents[agent_index].connection]
                     {
                         if (agents[agent_index].connected &&
                             agents[agent_index].connection == connection)
                         {
                             deliver();
                         }
                     });
        }
    }

    void place(std::size_t i)
    {
        auto& request = requests[i];
        if (request.log.phase != routing::request_phase::queued)
        {
            return;
        }
        request.agent = random() % agents.size();
        auto& agent = agents[request.agent];
        if (!agent.connected)
        {
            if (chance(20))
            {
                apply(i, routing::on_placement_failed(request.log, result_code::no_upstream));
                return;
            }
            schedule(20ms, [this, i] { place(i); });
            return;
        }
        if (request.log.attempt == 0)
        {
            routing::record_request(budget);
        }
        request.agent_incarnation = agent.incarnation;
        auto const attempt =
            routing::on_sent(request.log, {static_cast<std::uint32_t>(request.agent), 0});
        send_frame(request.agent, [this, i, agent_index = request.agent, attempt,
                                   resume = request.log.passed_tokens]
                   { receive_start(agent_index, i, attempt, resume); });
    }

    void apply(std::size_t i, routing::decision const& decision)
    {
        auto& request = requests[i];
        switch (decision.kind)
        {
        case decision_kind::retry:
            RC_ASSERT(decision.due_at < request.log.deadline);
            schedule(decision.due_at - now, [this, i] { place(i); });
            break;
        case decision_kind::fence:
            schedule(decision.due_at - now,
                     [this, i] { apply(i, routing::on_timer(requests[i].log, now)); });
            fence(i);
            break;
        case decision_kind::fail:
            RC_ASSERT(decision.not_run || !base::info(decision.code).not_run);
            request.not_run = decision.not_run;
            request.ended_at = now;
            break;
        case decision_kind::complete:
            RC_ASSERT(!request.log.stream || request.log.passed_tokens == request.total);
            request.completed = true;
            request.ended_at = now;
            break;
        case decision_kind::ignore:
        case decision_kind::forward:
            break;
        }
    }

    void fence(std::size_t i)
    {
        auto& request = requests[i];
        auto const agent_index = request.agent;
        if (request.log.phase != routing::request_phase::fencing || !agents[agent_index].connected)
        {
            return;
        }
        if (agents[agent_index].incarnation != request.agent_incarnation)
        {
            apply(i, routing::on_fenced(request.log, request.log.attempt, true, now, context()));
            return;
        }
        send_frame(agent_index, [this, i, agent_index, attempt = request.log.attempt]
                   { receive_fence(agent_index, i, attempt); });
    }

    void receive_start(std::size_t agent_index, std::size_t i, std::uint32_t attempt,
                       std::uint32_t resume)
    {
        auto& known = agents[agent_index].ledger[i];
        if (now >= requests[i].log.deadline)
        {
            return;
        }
        if (attempt <= known.attempt)
        {
            refuse(agent_index, i, attempt, result_code::duplicate_attempt, known.tombstone);
            return;
        }
        known = {attempt, chance(20), known.has_started};
        if (known.tombstone)
        {
            refuse(agent_index, i, attempt,
                   chance(90) ? result_code::overloaded : result_code::bad_request, true);
            return;
        }
        schedule(
            base::duration(random() % 100'000),
            [this, agent_index, i, attempt, resume, incarnation = agents[agent_index].incarnation]
            {
                auto const& queued = agents[agent_index].ledger[i];
                if (agents[agent_index].incarnation == incarnation && queued.attempt == attempt &&
                    !queued.tombstone)
                {
                    execute(agent_index, i, attempt, resume);
                }
            });
    }

    void execute(std::size_t agent_index, std::size_t i, std::uint32_t attempt,
                 std::uint32_t resume)
    {
        agents[agent_index].ledger[i].has_started = true;
        ++requests[i].runs;
        auto const incarnation = agents[agent_index].incarnation;
        auto const emit = [&](base::duration delay, std::function<void()> const& deliver)
        {
            schedule(delay,
                     [this, agent_index, incarnation, deliver]
                     {
                         if (agents[agent_index].incarnation == incarnation &&
                             agents[agent_index].connected)
                         {
                             send_frame(agent_index, deliver);
                         }
                     });
        };
        emit(0ms, [this, i, attempt] { apply(i, routing::on_started(requests[i].log, attempt)); });
        base::duration delay = 0ms;
        auto const total = requests[i].total;
        for (auto token = resume; requests[i].log.stream && token < total;)
        {
            auto const count = std::min<std::uint32_t>(1 + random() % 5, total - token);
            delay += 60ms;
            emit(delay,
                 [this, i, attempt, token, count] { receive_chunk(i, attempt, token, count); });
            token += count;
            if (chance(3))
            {
                emit(delay, [this, agent_index, i, attempt]
                     { refuse(agent_index, i, attempt, result_code::upstream_crashed, false); });
                return;
            }
        }
        emit(delay + 60ms, [this, i, attempt, total]
             { apply(i, routing::on_finished(requests[i].log, attempt, total, now, context())); });
    }

    void receive_chunk(std::size_t i, std::uint32_t attempt, std::uint32_t token,
                       std::uint32_t count)
    {
        auto& log = requests[i].log;
        auto const passed = log.passed_tokens;
        auto const ended = log.phase == routing::request_phase::done;
        auto const decision = routing::on_chunk(log, attempt, token, count, now, context());
        if (decision.kind == decision_kind::forward)
        {
            RC_ASSERT(!ended);
            RC_ASSERT(attempt == log.attempt);
            RC_ASSERT(token == passed);
            RC_ASSERT(log.passed_tokens == passed + count);
        }
        else
        {
            RC_ASSERT(log.passed_tokens == passed);
        }
        apply(i, decision);
    }

    void receive_fence(std::size_t agent_index, std::size_t i, std::uint32_t attempt)
    {
        auto& known = agents[agent_index].ledger[i];
        if (!known.has_started)
        {
            known = {std::max(known.attempt, attempt), true, false};
        }
        send_frame(
            agent_index,
            [this, i, attempt, has_started = known.has_started] {
                apply(i, routing::on_fenced(requests[i].log, attempt, has_started, now, context()));
            });
    }

    void refuse(std::size_t agent_index, std::size_t i, std::uint32_t attempt, result_code code,
                bool not_run)
    {
        send_frame(agent_index,
                   [this, i, attempt, code, not_run] {
                       apply(i, routing::on_refused(requests[i].log, attempt, code, not_run, start,
                                                    now, context()));
                   });
    }

    void disconnect(std::size_t agent_index)
    {
        auto& agent = agents[agent_index];
        if (!agent.connected)
        {
            return;
        }
        agent.connected = false;
        if (chance(30))
        {
            ++agent.incarnation;
            agent.ledger.clear();
        }
        for (std::size_t i = 0; i < requests.size(); ++i)
        {
            if (requests[i].agent == agent_index && requests[i].log.attempt > 0)
            {
                apply(i, routing::on_connection_lost(requests[i].log, now, context()));
            }
        }
        schedule(std::chrono::milliseconds(random() % 400),
                 [this, agent_index]
                 {
                     ++agents[agent_index].connection;
                     agents[agent_index].connected = true;
                     for (std::size_t i = 0; i < requests.size(); ++i)
                     {
                         if (requests[i].agent == agent_index)
                         {
                             fence(i);
                         }
                     }
                 });
    }
};

} // namespace

SCENARIO("a request keeps its invariants under lost, late, duplicated and reordered frames, "
         "crashes and restarts")
{
    // Guards against a second run of a request, gaps and repetitions in a stream, a truncated
    // stream without an error, a false "not run", and requests that never end.
    int completed = 0;
    int refused = 0;
    int retried = 0;
    test::check_property("the invariants of a request hold",
                         [&](std::uint64_t seed)
                         {
                             for (std::uint64_t i = 0; i < 100; ++i)
                             {
                                 simulation run(seed + i);
                                 run.run();
                                 completed += run.completed;
                                 refused += run.refused;
                                 retried += run.retried;
                             }
                         });
    // Guards against a simulation with so many faults that nothing is checked.
    CHECK(completed > 1000);
    CHECK(refused > 100);
    CHECK(retried > 1000);
}

SCENARIO("a request that may have run never fails as not run")
{
    std::mt19937_64 random(1);
    routing::retry_budget budget;
    routing::retry_context const context{budget, random};
    auto const deadline = start + 10s;
    GIVEN("an idempotent request whose first attempt was lost")
    {
        auto log = routing::start_log(true, false, deadline);
        (void)routing::on_sent(log, {});
        REQUIRE(routing::on_connection_lost(log, start, context).kind == decision_kind::retry);
        THEN("a refusal of the second attempt does not prove that the first one has not run")
        {
            auto const attempt = routing::on_sent(log, {});
            auto const end = routing::on_refused(log, attempt, result_code::bad_request, true,
                                                 start, start, context);
            CHECK(end.code == result_code::outcome_unknown);
            CHECK_FALSE(end.not_run);
        }
        THEN("a full queue does not prove that the first one has not run")
        {
            auto const end = routing::on_placement_failed(log, result_code::team_queue_full);
            CHECK(end.code == result_code::outcome_unknown);
        }
        THEN("the refusal of a suspect reports that it ran")
        {
            auto const second = routing::on_sent(log, {});
            routing::on_refused(log, second, result_code::upstream_crashed, false, start, start,
                                context);
            auto const end = routing::on_placement_failed(log, result_code::crash_suspect);
            CHECK(end.code == result_code::upstream_crashed);
            CHECK_FALSE(end.not_run);
        }
        THEN("a suspect without a known crash of its own ends as unknown")
        {
            CHECK(routing::on_placement_failed(log, result_code::crash_suspect).code ==
                  result_code::outcome_unknown);
        }
    }
    GIVEN("a request whose Idempotency-Key is not claimed yet")
    {
        // Guards against "not run" for a key under which an earlier request ran.
        auto log = routing::start_log(false, false, deadline);
        routing::on_claim_started(log);
        SUBCASE("another claimer holds it")
        {
            auto const end = routing::on_claim_decided(log, routing::claim_outcome::duplicate);
            CHECK(end.code == result_code::outcome_unknown);
            CHECK_FALSE(end.not_run);
        }
        SUBCASE("the deadline passes")
        {
            auto const end = routing::on_timer(log, deadline);
            CHECK(end.code == result_code::outcome_unknown);
            CHECK_FALSE(end.not_run);
        }
        SUBCASE("the caller disconnects")
        {
            CHECK_FALSE(routing::on_canceled(log).not_run);
        }
        SUBCASE("the entry fails the request as unknown")
        {
            auto own = routing::start_log(false, false, deadline);
            CHECK_FALSE(routing::on_placement_failed(own, result_code::outcome_unknown).not_run);
        }
        SUBCASE("it may run: from then on a refusal is reported as not run")
        {
            CHECK(routing::on_claim_decided(log, routing::claim_outcome::run).kind ==
                  decision_kind::ignore);
            CHECK(routing::on_placement_failed(log, result_code::team_queue_full).not_run);
        }
    }
    GIVEN("a non-idempotent request")
    {
        auto log = routing::start_log(false, false, deadline);
        auto const attempt = routing::on_sent(log, {});
        SUBCASE("lost before it started: fence first, then retry")
        {
            auto const lost = routing::on_connection_lost(log, start, context);
            CHECK(lost.kind == decision_kind::fence);
            CHECK(lost.due_at == start + routing::fence_timeout);
            CHECK(routing::on_fenced(log, attempt, false, start, context).kind ==
                  decision_kind::retry);
        }
        SUBCASE("lost before it started and the agent has restarted")
        {
            routing::on_connection_lost(log, start, context);
            CHECK(routing::on_fenced(log, attempt, true, start, context).code ==
                  result_code::outcome_unknown);
        }
        SUBCASE("lost after it started")
        {
            routing::on_started(log, attempt);
            CHECK(routing::on_connection_lost(log, start, context).code ==
                  result_code::outcome_unknown);
        }
        SUBCASE("refused as not run after it started")
        {
            routing::on_started(log, attempt);
            auto const end = routing::on_refused(log, attempt, result_code::overloaded, true, start,
                                                 start, context);
            CHECK(end.code == result_code::outcome_unknown);
        }
        SUBCASE(
            "refused as not run: retried until the budget is spent, which is reported as not run")
        {
            budget.tokens = 0;
            budget.refilled_at = start;
            auto const end = routing::on_refused(log, attempt, result_code::overloaded, true, start,
                                                 start, context);
            CHECK(end.code == result_code::retry_budget_spent);
            CHECK(end.not_run);
        }
        SUBCASE("a duplicate of the Start is refused: the attempt continues")
        {
            auto const copy = routing::on_refused(log, attempt, result_code::duplicate_attempt,
                                                  false, start, start, context);
            CHECK(copy.kind == decision_kind::ignore);
            CHECK(routing::on_finished(log, attempt, 0, start, context).kind ==
                  decision_kind::complete);
        }
        SUBCASE("the deadline passes: the agent is told to cancel")
        {
            auto const end = routing::on_timer(log, deadline);
            CHECK(end.code == result_code::outcome_unknown);
            CHECK(end.cancel_attempt);
        }
    }
}

SCENARIO("duplicated and late frames have no effect")
{
    std::mt19937_64 random(1);
    routing::retry_budget budget;
    routing::retry_context const context{budget, random};
    auto log = routing::start_log(true, true, start + 10s);
    auto const first = routing::on_sent(log, {});
    CHECK(routing::on_chunk(log, first, 0, 4, start, context).kind == decision_kind::forward);
    // Guards against abandoning a healthy attempt, which costs a retry, because of a duplicate.
    CHECK(routing::on_chunk(log, first, 0, 4, start, context).kind == decision_kind::ignore);
    CHECK(log.phase == routing::request_phase::started);
    CHECK(routing::on_chunk(log, first, 5, 1, start, context).kind == decision_kind::retry);
    CHECK(routing::on_chunk(log, first, 4, 1, start, context).kind == decision_kind::ignore);
    CHECK(routing::on_finished(log, first, 4, start, context).kind == decision_kind::ignore);
    CHECK(log.passed_tokens == 4);
}

SCENARIO("an answer goes on without end at the entry")
{
    // Guards against an answer that is resumed again and again where it became too large.
    auto const now = base::mono_now();
    for (bool const idempotent : {false, true})
    {
        CAPTURE(idempotent);
        auto log = routing::start_log(idempotent, true, now + std::chrono::seconds(9));
        (void)routing::on_sent(log, routing::upstream_id{});
        (void)routing::on_started(log, 1);
        auto const decided = routing::on_answer_too_large(log);
        CHECK(decided.kind == routing::decision_kind::fail);
        CHECK(decided.code == base::result_code::response_too_large);
        CHECK(decided.cancel_attempt);
        CHECK_FALSE(decided.not_run);
        CHECK(routing::on_answer_too_large(log).kind == routing::decision_kind::ignore);
    }
}
