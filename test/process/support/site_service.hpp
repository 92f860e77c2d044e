#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_SITE_SERVICE_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_SITE_SERVICE_HPP

#include "process/support/http_client.hpp"
#include "process/support/process.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrywood::test
{

/// A gateway process.
struct gateway_under_test
{
    std::unique_ptr<process> program;
    std::uint16_t http_port = 0;
    std::uint16_t admin_port = 0;
};

/// Stand-ins of the users' machines, and gateways before them.
struct site_service
{
    /// The first gateway is the strongest one, so that it gets the jobs while it lives.
    /// \param more_settings further lines of the settings of each gateway.
    explicit site_service(int gateways, int desks = 2, std::string more_settings = {});

    std::unique_ptr<process> site;
    std::uint16_t site_port = 0;
    /// Port of the store that the first gateway uses, so that it can be turned away alone.
    std::uint16_t side_door_port = 0;
    std::string more_settings;
    std::vector<gateway_under_test> gateways;
    /// Version of the configuration that was written last.
    mutable int configuration_version = 2;
};

/// Starts another gateway and waits until callers may use it.
void add_gateway(site_service& to, double processors = 1);

/// State of the stand-ins: runs, reports, upstreams, keys of the store.
[[nodiscard]] nlohmann::json site_state(site_service const& of);

/// Changes how a stand-in behaves.
void set_site(site_service const& of, std::string const& what, nlohmann::json const& body);

/// Writes the next configuration, in which fields of a route differ, and waits until the gateways
/// have applied it.
void change_route(site_service const& of, std::string const& name, nlohmann::json const& fields);

/// Writes the next configuration with other limits of callers, and waits until the gateways have
/// applied it.
void change_limits(site_service const& of, nlohmann::json const& limits);

/// Sends a request of the team, or with another key.
[[nodiscard]] http_response
call_gateway(gateway_under_test const& at, std::string const& method, std::string const& target,
             std::string const& host, std::string const& id, std::string const& body = "",
             std::string const& key = "key-1",
             std::vector<std::pair<std::string, std::string>> const& headers = {});

/// Body of a batch job of samples that have this many events each.
[[nodiscard]] std::string make_batch_job(std::string const& id, std::vector<int> const& events,
                                         int least_version = 1);

/// Submits a batch job.
[[nodiscard]] unsigned submit(gateway_under_test const& at, std::string const& id,
                              std::vector<int> const& events, int least_version = 1);

/// Reads all results that are listed.
[[nodiscard]] nlohmann::json read_results(gateway_under_test const& at, std::string const& id);

/// Waits until a gateway lists all results, and returns them.
[[nodiscard]] nlohmann::json wait_results(gateway_under_test const& at, std::string const& id,
                                          std::size_t count);

/// The text that a sample with this many events must have.
[[nodiscard]] std::string whole_text(std::string const& sample_id, int events);

} // namespace gooseberrywood::test

#endif
