#ifndef GOOSEBERRYWOOD_TEST_CONFIG_NETWORK_HPP
#define GOOSEBERRYWOOD_TEST_CONFIG_NETWORK_HPP

#include "config.hpp"
#include "wire/send_times.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gooseberrywood::test
{

/// What a simulated network is made of and which faults occur in it.
struct network_options
{
    std::uint64_t seed = 0;
    int domains = 3;
    int entries_each = 1;
    int agents_each = 3;
    /// Random cuts, restarts, store outages, lost and late frames, and dying operators.
    bool faults = false;
    bool operators = true;
    /// Entries poll the store and trust its last answer for ever.
    bool naive = false;
};

/// A simulated frame: what every frame carries, and a body: nothing, the version of a request, the
/// content of its answer, or an announcement.
struct packet
{
    int from = 0;
    int to = 0;
    std::uint64_t to_incarnation = 0;
    config::peer_frame header;
    std::int64_t sent_us = 0;
    std::int64_t echo_us = 0;
    std::variant<std::monostate, std::uint64_t, std::string, config::intent> body;
};

/// An entry or an agent.
struct process
{
    std::string host;
    int domain = 0;
    bool is_entry = false;
    std::uint64_t incarnation = 0;
    /// Clocks of processes have nothing to do with each other.
    base::duration clock_offset{};
    bool isolated = false;
    config::replica replica;
    /// Incarnation and version after the last step.
    std::pair<std::uint64_t, std::uint64_t> last_version;
    std::map<int, wire::send_times> peers;
};

/// An operator's command.
struct operator_command
{
    config::apply_round round;
    int domain = 0;
    bool alive = true;
    std::uint64_t seen_step = 0;
    base::mono_time resend_at{};
};

/// A call to the store that has not arrived there yet.
struct store_call
{
    /// Index of a process, or -1 - index of an operator.
    int caller = 0;
    std::uint64_t incarnation = 0;
    base::mono_time asked_at{};
    std::optional<config::record> write;
    base::mono_time aborted_at = base::mono_time::max();
};

/// Entries, agents, operators and a store on a virtual clock.
struct network
{
    network_options options;
    std::mt19937_64 random;
    base::mono_time now{std::chrono::hours(1)};
    std::vector<process> processes;
    std::vector<operator_command> operators;
    std::vector<int> side_of_domain;
    std::vector<config::witness> agents;
    std::vector<std::string> domain_names;
    bool store_up = true;
    config::record stored;
    config::head head;
    std::multimap<base::mono_time, packet> packets;
    std::multimap<base::mono_time, store_call> calls;
    std::map<std::pair<int, int>, base::mono_time> last_arrival;
    /// Faults occur only until then, and again later.
    base::mono_time faults_until = base::mono_time::min();
    base::mono_time fault_free_since{};
    base::mono_time next_operator{};
    /// Number of keys that were ever given.
    std::uint64_t keys_made = 0;
    /// When each key was withdrawn, and each version accepted.
    std::map<std::string, base::mono_time, std::less<>> withdrawn_at;
    std::map<std::uint64_t, base::mono_time> accepted_at;
    /// What the checks found; empty if nothing.
    std::string violation;
};

[[nodiscard]] network make_network(network_options const& options);

/// Runs for some time and checks after each step that no version reverts, no withdrawn key is
/// served for too long and each version is in effect everywhere in time.
void run(network& of, base::duration time);

/// State of an entry now.
[[nodiscard]] config::serving_state state_of(network const& of, process const& entry);

/// The time on a process's own clock.
[[nodiscard]] base::mono_time local(network const& of, process const& at);

} // namespace gooseberrywood::test

#endif
