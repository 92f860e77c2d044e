#include "process/support/crowd.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>

using namespace gooseberrywood::test;

namespace
{

constexpr std::size_t descriptor_bound = 512;
// Below the limit of a body of 1 MiB.
constexpr std::size_t padding_bytes = 960 * 1024;

std::string job_request(std::string const& id, std::string const& body)
{
    return fmt::format("POST /t/submit HTTP/1.1\r\nHost: train.example\r\nAttempt-Id: {}\r\n"
                       "Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n"
                       "Content-Length: {}\r\n\r\n",
                       id, body.size()) +
           body;
}

/// A batch job with a field that nothing reads, whose parsed form is many times as large.
std::string padded_job(std::string const& id)
{
    auto body = make_batch_job(id, {1});
    std::string padding = ",\"note\":[[]";
    while (padding.size() < padding_bytes)
    {
        padding += ",[]";
    }
    body.insert(body.size() - 1, padding + "]");
    return body;
}

/// A batch job of one sample with a long body.
std::string long_job(std::string const& id)
{
    auto body = make_batch_job(id, {400});
    body.insert(body.find("\"body\":\"") + 8, std::string(padding_bytes, 'A'));
    return body;
}

} // namespace

SCENARIO("a crowd submits batch jobs that the store does not take")
{
    // Guards against jobs that are held several times while they are stored.
    constexpr int crowd_size = 48;
    small_gateway const gateway(descriptor_bound);
    set_site(*gateway.service, "store", {{"mode", "loses_answers"}});
    std::vector<crowd> held;
    for (int i = 0; i < crowd_size; ++i)
    {
        auto const id = fmt::format("lost-{}", i);
        held.push_back(make_crowd(gateway.port(), 1, job_request(id, padded_job(id))));
    }
    check_bounds(gateway);
    set_site(*gateway.service, "store", {{"mode", "serves"}});
    check_bounds_and_service(gateway);
}

SCENARIO("a crowd submits batch jobs that stay open")
{
    // Guards against accepted jobs that nothing counts.
    constexpr int crowd_size = 80;
    small_gateway const gateway(descriptor_bound);
    std::vector<crowd> held;
    for (int i = 0; i < crowd_size; ++i)
    {
        auto const id = fmt::format("open-{}", i);
        held.push_back(make_crowd(gateway.port(), 1, job_request(id, long_job(id))));
    }
    check_bounds_and_service(gateway);
}
