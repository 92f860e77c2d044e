#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_DEPLOYMENT_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_DEPLOYMENT_HPP

#include "bundle/signature.hpp"
#include "process/support/http_client.hpp"
#include "process/support/process.hpp"

#include <cstdint>
#include <memory>
#include <optional>
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
    /// What the platform's host list says of it.
    bool leaving = false;
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

/// The stand-in for the platform and the operators' keys.
struct platform_host
{
    std::unique_ptr<process> program;
    std::uint16_t port = 0;
    bundle::key_pair keys;

    [[nodiscard]] std::string url() const;
};

/// Where the processes of a deployment find their configuration.
enum class configuration_source : std::uint8_t
{
    bundle_file,
    /// The bundle is applied by the operators' command before other processes start.
    platform,
};

/// Processes of one small deployment; all are ended when it is destroyed.
struct deployment
{
    /// \param bundle_text the bundle that all processes use.
    explicit deployment(std::string_view bundle_text,
                        configuration_source source = configuration_source::bundle_file);

    temporary_folder folder;
    std::optional<platform_host> platform;
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

/// Starts an entry again on its earlier ports, and waits until it is connected to the agents.
void restart(deployment& in, entry_host& which);

/// Starts an agent again on its earlier port.
void restart(deployment& in, agent_host& which);

/// Starts a stand-in again on its earlier port.
void restart(upstream_standin& which);

/// Tells the platform's stand-in which hosts there are.
void list_hosts(deployment const& in);

/// A fault of the platform; docs/platform.md has the kinds of calls and the modes.
struct platform_fault
{
    std::string kind = "*";
    std::string mode;
    int count = -1;
    std::chrono::microseconds delay{};
};

/// Replaces the faults of the platform's stand-in.
void set_faults(deployment const& in, std::vector<platform_fault> const& faults);

/// Waits until a command has printed a text.
/// \throws std::runtime_error when it ends or the time passes before.
void wait_output(process& of, std::string_view text);

/// Starts an operators' command with its settings.
/// \param arguments without --settings.
[[nodiscard]] std::unique_ptr<process> start_command(deployment const& in,
                                                     std::vector<std::string> arguments);

/// Writes and signs a bundle under a name in the deployment's folder.
/// \returns its path.
std::string write_bundle(deployment const& in, std::string const& name, std::string_view text);

/// How a command ended.
struct command_outcome
{
    int exit_code = 0;
    std::string output;
};

/// Waits for the end of a command; it may take as long as the command's own limits.
[[nodiscard]] command_outcome wait_outcome(process& command);

/// Runs an operators' command to its end.
[[nodiscard]] command_outcome run_command(deployment const& in, std::vector<std::string> arguments);

/// Signs a bundle and runs `bundle apply`.
[[nodiscard]] command_outcome apply_bundle(deployment const& in, std::string_view bundle_text);

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
