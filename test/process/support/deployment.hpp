#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_DEPLOYMENT_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_DEPLOYMENT_HPP

#include "process/support/http_client.hpp"
#include "process/support/process.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::test
{

/// A stand-in for an engine or a plain service.
struct upstream_standin
{
    std::string name;
    std::string route;
    std::vector<std::string> flags;
    std::unique_ptr<process> program;
    std::uint16_t port = 0;

    [[nodiscard]] std::string url() const;
};

/// An agent and the stand-ins beside it.
struct agent_host
{
    std::string host;
    std::string domain;
    std::vector<std::unique_ptr<upstream_standin>> upstreams;
    std::unique_ptr<process> program;
    std::uint16_t wire_port = 0;
    std::uint16_t admin_port = 0;
};

/// An entry.
struct entry_host
{
    std::string host;
    std::string domain;
    std::unique_ptr<process> program;
    std::uint16_t http_port = 0;
    std::uint16_t admin_port = 0;

    [[nodiscard]] std::string url() const;
};

/// Processes of one small deployment; all are ended when it is destroyed.
struct deployment
{
    /// \param bundle_text the bundle that all processes use.
    explicit deployment(std::string_view bundle_text);

    temporary_folder folder;
    /// Further lines for the top level of each agent's settings.
    std::string agent_settings;
    std::vector<std::unique_ptr<agent_host>> agents;
    std::vector<std::unique_ptr<entry_host>> entries;
};

/// An upstream to be started with its agent.
[[nodiscard]] std::unique_ptr<upstream_standin> make_upstream(std::string name, std::string route,
                                                              std::vector<std::string> flags = {});

/// Starts an agent with its upstreams.
agent_host& add_agent(deployment& to, std::string host, std::string domain,
                      std::vector<std::unique_ptr<upstream_standin>> upstreams);

/// Starts an entry that knows all agents, and waits until it is connected to them.
entry_host& add_entry(deployment& to, std::string host, std::string domain);

/// Starts an agent again on its earlier port.
void restart(deployment& in, agent_host& which);

/// Starts a stand-in again on its earlier port.
void restart(upstream_standin& which);

/// State dump of a process.
[[nodiscard]] nlohmann::json state_of(std::uint16_t admin_port);

/// A completion request with a key.
[[nodiscard]] http_request completion(entry_host const& at, std::string_view key,
                                      std::string_view prompt, int max_tokens, bool stream);

/// All executions that a stand-in started.
[[nodiscard]] nlohmann::json executions(upstream_standin const& of);

/// Text of a completion answer.
[[nodiscard]] std::string text_of(http_response const& answer);

} // namespace gooseberrywood::test

#endif
