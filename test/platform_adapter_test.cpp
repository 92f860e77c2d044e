#include "at_ms.hpp"
#include "platform/platform.hpp"
#include "property.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view configuration = R"({"version":7,
"routes":[{"name":"r","host":"h.example","prefix":"/p/","route_type":"idempotent","timeout_ms":800,
"target_latency_ms":150,"priority":2,"traffic_split":[{"service":"s","weight":90},
{"service":"t","weight":10}],"attempts":2,"public":false}],
"services":[{"name":"s","health_path":"/healthz","max_conns":140,"cold_start_s":3.0,
"cold_per_s":18.0,"engine":{"slots":8,"models":[{"name":"m0"},{"name":"m1"}]}}],
"tenants":[{"name":"team","api_keys":["k1","k2"],"priority":1}]})";

store::item upstream_item(std::string const& text)
{
    return {"servers/i-1", text, 3};
}

} // namespace

SCENARIO("operator entries are decoded")
{
    GIVEN("a configuration")
    {
        auto const decoded = platform::decode_configuration(configuration);
        REQUIRE(decoded.has_value());
        CHECK(decoded->version == 7);
        CHECK(decoded->routes[0].kind == fleet::route_kind::idempotent);
        CHECK(decoded->routes[0].timeout == 800ms);
        CHECK(decoded->routes[0].services.size() == 2);
        CHECK(decoded->services[0].models == std::vector<std::string>{"m0", "m1"});
        CHECK(decoded->services[0].cold_requests_per_s == 18);
        CHECK(*fleet::find_team(*decoded, "k2") == "team");
    }
    GIVEN("text that is not a valid configuration")
    {
        for (auto const* text : {"", "[]", "{}", R"({"version":1})", R"({"version":"1"})",
                                 R"({"version":1,"routes":[{}],"services":[]})"})
        {
            CHECK_FALSE(platform::decode_configuration(text).has_value());
        }
    }
    GIVEN("entries of every kind, one of them malformed")
    {
        std::vector<store::item> const items = {
            {"op/config", std::string(configuration), 9},
            {"op/evacuate/krapina", "{}", 10},
            {"op/retire/store-1", R"({"duration_s":10})", 11},
            {"op/version/m0", R"({"model":"m0","version":4})", 12},
            {"op/version/m1", "damaged", 13},
        };
        auto const state = platform::decode_operator_state(items);
        CHECK(state.configuration_revision == 9);
        CHECK(state.domains_out.contains("krapina"));
        CHECK(state.retiring_hosts == std::vector<std::string>{"store-1"});
        CHECK(state.latest_versions.at("m0") == 4);
        CHECK_FALSE(state.latest_versions.contains("m1"));
    }
}

SCENARIO("upstream entries are decoded, and malformed ones are skipped")
{
    std::string const valid_entry =
        R"({"service":"s","address":"10.0.0.9:80","zone":"krapina","version":"v1","slots":8,)"
        R"("state":"draining","cold_remaining_ms":1500,"stage":"dual",)"
        R"("models":[{"name":"m0","version":3,"adapters":[]}],"seq":4,"born":17})";
    auto const upstreams =
        platform::decode_upstreams(std::vector{upstream_item(valid_entry)}, at_ms(100));
    REQUIRE(upstreams.size() == 1);
    CHECK(upstreams[0].id == "i-1");
    CHECK(upstreams[0].draining);
    CHECK(upstreams[0].cold_until == at_ms(1600));
    CHECK(upstreams[0].weights.at("m0") == 3);
    CHECK(upstreams[0].started_ms == 17);
    CHECK(upstreams[0].software_version == "v1");
    for (std::string const field :
         {"\"service\":\"s\"", "\"slots\":8", "\"state\":\"draining\"",
          "\"address\":\"10.0.0.9:80\"", "\"cold_remaining_ms\":1500", "\"version\":\"v1\""})
    {
        auto text = valid_entry;
        text.replace(text.find(field), field.size(), "\"x\":1");
        CAPTURE(field);
        CHECK(platform::decode_upstreams(std::vector{upstream_item(text)}, at_ms(0)).empty());
    }
    auto unknown_state = valid_entry;
    unknown_state.replace(unknown_state.find("draining"), 8, "sleeping");
    CHECK(platform::decode_upstreams(std::vector{upstream_item(unknown_state)}, at_ms(0)).empty());
    test::check_property(
        "decoding a damaged entry does not crash",
        [&]
        {
            auto text = valid_entry;
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
            (void)platform::decode_upstreams(std::vector{upstream_item(text)}, at_ms(0));
        });
}

SCENARIO("batch jobs and operations on them are decoded")
{
    std::string const body =
        R"({"step":7,"model":"m","min_version":6,"desired_count":12,"items":[{"id":"i1",)"
        R"("path":"/p/3","headers":{"Token-Counts":"540,400","Length-Hint":"90"},"body":"q80=",)"
        R"("tokens":940,"group":"g","scorer":{"id":"s1","host":"h","path":"/q","body":"3g=="}}]})";
    auto const job = platform::decode_batch_job(body);
    REQUIRE(job.has_value());
    CHECK(job->least_version == 6);
    CHECK(job->samples[0].model == "m");
    CHECK(job->samples[0].body == "\xab\xcd");
    CHECK(job->samples[0].expected_tokens == 90);
    CHECK(job->samples[0].reward->body == "\xde");
    CHECK_FALSE(platform::decode_batch_job(R"({"items":[]})").has_value());
    CHECK_FALSE(platform::decode_batch_job(R"({"items":[{"id":"a"}]})").has_value());
    CHECK_FALSE(
        platform::decode_batch_job(R"({"items":[{"id":"a","path":"/","body":"?"}]})").has_value());

    auto const results_call = platform::decode_batch_call("GET", "/-/lots/j1?after=12");
    CHECK(results_call->operation == platform::batch_operation::read_results);
    CHECK(results_call->job_id == "j1");
    CHECK(results_call->from_position == 12);
    auto const body_call = platform::decode_batch_call("GET", "/-/items/j1?id=a%20b");
    CHECK(body_call->sample_id == "a b");
    CHECK(platform::decode_batch_call("DELETE", "/-/lots/j1")->operation ==
          platform::batch_operation::end);
    CHECK_FALSE(platform::decode_batch_call("POST", "/-/lots/j1").has_value());
    CHECK_FALSE(platform::decode_batch_call("GET", "/p/1").has_value());
}

SCENARIO("a page of results is limited in size but holds at least one result")
{
    rollout::sample_result large;
    large.id = "a";
    large.done = true;
    large.text = std::string(700'000, 'x');
    std::vector<rollout::sample_result> const results = {large, large, large};
    auto const page = nlohmann::json::parse(platform::encode_results(10, 4, results));
    CHECK(page["results"].size() == 1);
    CHECK(page["next"] == 5);
    CHECK(page["total"] == 10);
}

SCENARIO("events are parsed from pieces of any size, and incomplete events are not returned")
{
    std::string const bytes =
        "weight-versions: 5\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: ";
    test::check_property("pieces of random size",
                         [&]
                         {
                             platform::event_stream stream;
                             std::vector<rollout::stream_event> events;
                             for (std::size_t offset = 0; offset < bytes.size();)
                             {
                                 auto const size = *rc::gen::inRange<std::size_t>(1, 20);
                                 for (auto& event :
                                      platform::feed(stream, bytes.substr(offset, size)))
                                 {
                                     events.push_back(event);
                                 }
                                 offset += size;
                             }
                             RC_ASSERT(events.size() == 2U);
                             RC_ASSERT(events[0].version == std::optional<std::uint32_t>(5));
                             RC_ASSERT(events[1].id == 2);
                             RC_ASSERT(events[1].data == "b");
                         });
}

SCENARIO("requests to upstreams carry the platform's headers, and response heads are decoded")
{
    platform::upstream_target const target{"i-1",  "10.0.0.9:80", "h.example",
                                           "team", "r1",          at_ms(1000)};
    auto const header_value = [](http::call_request const& request, char const* name)
    {
        return std::string(http::find_header(request.headers, name).value_or(""));
    };
    auto const plain = platform::encode_plain(
        target, {"POST", "/p/1?q=%2F", "text/plain", http::copy_bytes("x"), {{"Model", "m"}}, true},
        at_ms(400));
    CHECK(http::view_of(plain.shared_body) == "x");
    CHECK(plain.url == "http://10.0.0.9:80/p/1?q=%2F");
    CHECK(header_value(plain, "Deadline-Ms") == "600");
    CHECK(header_value(plain, "Tenant") == "team");
    CHECK(header_value(plain, "Expect-Instance") == "i-1");
    CHECK(header_value(plain, "Model") == "m");
    CHECK(header_value(platform::encode_plain(target, {}, at_ms(2000)), "Deadline-Ms") == "0");

    auto const head = platform::decode_response_head(
        503, {{"not-executed", "1"}, {"attempt-id", "r1"}, {"Weight-Versions", "4"}});
    CHECK(head.not_run);
    CHECK(head.request_id == "r1");
    CHECK(head.weight_version == 4);
    CHECK(platform::decode_response_head(421, {}).not_run);
    CHECK_FALSE(platform::decode_response_head(503, {}).not_run);
    CHECK_FALSE(head.rate_limit.has_value());
    CHECK(platform::decode_response_head(200, {{"server-limit", "2.5"}}).rate_limit == 2.5);
    for (auto const* unreadable : {"", "fast", "-1", "inf", "nan", "2.5x"})
    {
        CAPTURE(unreadable);
        auto const stated = platform::decode_response_head(200, {{"Server-Limit", unreadable}});
        CHECK(stated.has_unreadable_limit);
        CHECK_FALSE(stated.rate_limit.has_value());
    }
    for (std::uint16_t const status : {200, 404, 429, 500, 503})
    {
        CAPTURE(status);
        CHECK(platform::decode_response_head(status, {{"server-leaving", "1"}}).leaving);
        CHECK_FALSE(platform::decode_response_head(status, {}).leaving);
        for (auto const* other : {"", "0", "2", "true", "1 1"})
        {
            CAPTURE(other);
            CHECK_FALSE(
                platform::decode_response_head(status, {{"Server-Leaving", other}}).leaving);
        }
    }
    // Another upstream may have answered a misdirected request.
    CHECK_FALSE(platform::decode_response_head(421, {{"Server-Leaving", "1"}}).leaving);
    auto const forwardable = platform::forwardable_headers(
        {{"Connection", "close"}, {"Content-Length", "4"}, {"Server-Stamp", "s"}});
    REQUIRE(forwardable.size() == 1);
    CHECK(forwardable[0].name == "Server-Stamp");
}

SCENARIO("outcomes of orders and usage reports are decoded")
{
    auto const response = [](std::uint16_t status)
    {
        return http::fetch_outcome(http::fetched_response{status, {}, ""});
    };
    using duty::order_outcome;
    CHECK(platform::decode_order_outcome(response(202)) == order_outcome::accepted);
    CHECK(platform::decode_order_outcome(response(200)) == order_outcome::already_holds);
    CHECK(platform::decode_order_outcome(response(409)) == order_outcome::conflict);
    CHECK(platform::decode_order_outcome(response(412)) == order_outcome::fenced);
    CHECK(platform::decode_order_outcome(response(421)) == order_outcome::refused);
    http::failed_call const timed_out{{}, true, true};
    http::failed_call const not_sent{{}, false, false};
    CHECK(platform::decode_order_outcome(tl::unexpected(timed_out)) == order_outcome::unknown);
    CHECK(platform::decode_order_outcome(tl::unexpected(not_sent)) == order_outcome::not_sent);
    CHECK(platform::decode_report_outcome(response(409)) == duty::report_outcome::fenced);
}
