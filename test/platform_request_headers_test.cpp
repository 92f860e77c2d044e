#include "http/fetch.hpp"
#include "platform/platform.hpp"
#include "property.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

std::vector<std::string> const own_names = {"Host",   "Attempt-Id",      "Deadline-Ms",
                                            "Tenant", "Expect-Instance", "Expect-Version"};
std::vector<std::string> const withheld_names = {
    "Authorization", "Content-Length", "Transfer-Encoding", "Connection", "TE",
    "Expect",        "Upgrade",        "Request-Priority",  "Kv-Hold",    "Kv-From",
    "Kv-Fetch",      "Kv-Backup"};
std::vector<std::string> const passed_names = {"Model", "Token-Counts", "Prompt-Prefix",
                                               "Length-Hint", "X-Trace"};

std::string random_case(std::string name)
{
    for (auto& letter : name)
    {
        letter = static_cast<char>(*rc::gen::arbitrary<bool>()
                                       ? std::toupper(static_cast<unsigned char>(letter))
                                       : std::tolower(static_cast<unsigned char>(letter)));
    }
    return name;
}

/// Headers that may each occur several times, in any case and order.
std::vector<http::header> random_headers(std::vector<std::string> const& names)
{
    std::vector<http::header> made;
    for (auto const& name :
         *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(names)))
    {
        made.push_back({random_case(name), "theirs"});
    }
    return made;
}

std::vector<std::string> all_names()
{
    auto names = own_names;
    for (auto const* more : {&withheld_names, &passed_names})
    {
        names.insert(names.end(), more->begin(), more->end());
    }
    names.emplace_back("Last-Event-Id");
    names.emplace_back("Resumes");
    return names;
}

auto count_of(std::vector<http::header> const& headers, std::string_view name)
{
    return std::count_if(headers.begin(), headers.end(),
                         [&](http::header const& header)
                         { return http::equal_header_names(header.name, name); });
}

platform::upstream_target const target{"i-1", "127.0.0.1:1", "h.example", "team-a", "r1", {}};

/// Whether the request has the headers of this service once, as it set them, and no reserved one.
void check_request(http::call_request const& request, std::vector<http::header> const& theirs)
{
    for (auto const& name : own_names)
    {
        RC_ASSERT(count_of(request.headers, name) == (name == "Expect-Version" ? 0 : 1));
        RC_ASSERT(http::find_header(request.headers, name) != "theirs");
    }
    for (auto const& name : withheld_names)
    {
        RC_ASSERT(count_of(request.headers, name) == 0);
    }
    for (auto const& name : passed_names)
    {
        RC_ASSERT(count_of(request.headers, name) == count_of(theirs, name));
    }
}

} // namespace

TEST_CASE("headers of a caller or a sample never replace those that this service sets")
{
    // Guards against requests that run as another team, or carry a key to an upstream.
    test::check_property("headers of a plain request",
                         []
                         {
                             platform::plain_call call;
                             call.headers = random_headers(all_names());
                             auto const request = platform::encode_plain(target, call, {});
                             check_request(request, call.headers);
                             RC_ASSERT(count_of(request.headers, "Last-Event-Id") ==
                                       count_of(call.headers, "Last-Event-Id"));
                         });
    test::check_property("headers of a sample",
                         []
                         {
                             rollout::sample_spec sample;
                             sample.path = "/p/1";
                             sample.headers = random_headers(all_names());
                             auto const request = platform::encode_sample(target, sample, {}, {});
                             check_request(request, sample.headers);
                             RC_ASSERT(count_of(request.headers, "Last-Event-Id") == 0);
                             RC_ASSERT(count_of(request.headers, "Resumes") == 0);
                         });
}

namespace
{

std::string job_with_headers(std::string const& headers)
{
    return fmt::format(
        R"({{"items":[{{"id":"a","path":"/p/1","headers":{},"body":"","tokens":1}}]}})", headers);
}

} // namespace

SCENARIO("a batch job is submitted whose items have headers")
{
    // Guards against headers that are dropped or changed on the way without a word.
    auto const is_accepted = [](std::string const& headers)
    {
        auto const job = platform::decode_batch_job(job_with_headers(headers));
        return job && platform::check_headers(*job);
    };
    for (auto const* headers :
         {R"({"":"x"})", R"({"Model ":"x"})", R"({"Mo del":"x"})", R"({"Model:":"x"})",
          R"({"Model":"x\r\nTenant: t"})", R"({"Model\n":"x"})", R"({"Model":"x\u0000"})",
          R"({"Model":"a","model":"b"})", R"({"Model":1})", R"(["Model"])"})
    {
        CAPTURE(headers);
        CHECK_FALSE(is_accepted(headers));
    }
    for (auto const* headers : {R"({})", R"({"Model":"x y\tz","Token-Counts":"1,2"})",
                                R"({"Tenant":"t"})", R"({"X":"é"})"})
    {
        CAPTURE(headers);
        CHECK(is_accepted(headers));
    }
}

SCENARIO("a stored job has headers that can't be sent")
{
    // Guards against a line end that begins another header.
    rollout::sample_spec sample;
    sample.path = "/p/1";
    sample.headers = {{"Model", "m\r\nTenant: t"}, {"A b", "x"}, {"X-Trace", "t"}};
    auto const request = platform::encode_sample(target, sample, {}, {});
    CHECK_FALSE(http::find_header(request.headers, "Model").has_value());
    CHECK_FALSE(http::find_header(request.headers, "A b").has_value());
    CHECK(http::find_header(request.headers, "X-Trace") == "t");
}
