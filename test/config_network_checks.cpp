#include "config_network_checks.hpp"

#include <fmt/format.h>

#include <sstream>
#include <utility>

using namespace std::chrono_literals;

namespace gooseberrywood::test
{

std::set<std::string> keys_of(config::record const& of)
{
    std::set<std::string> keys;
    std::istringstream lines(of.bundle_text);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line))
    {
        keys.insert(line);
    }
    return keys;
}

void check_withdrawals(network& of, process const& entry)
{
    auto const state = state_of(of, entry);
    if (state == config::serving_state::stopped || !entry.replica.current.current)
    {
        return;
    }
    auto served = keys_of(*entry.replica.current.current);
    if (state == config::serving_state::restricted)
    {
        for (config::record const& other : config::restrictions(entry.replica.freshness))
        {
            auto const allowed = keys_of(other);
            std::erase_if(served, [&](auto const& key) { return !allowed.contains(key); });
        }
    }
    for (auto const& key : served)
    {
        auto const found = of.withdrawn_at.find(key);
        if (found != of.withdrawn_at.end() && of.now >= found->second + config::withdrawal_target)
        {
            of.violation = fmt::format("{} serves {} at {}, withdrawn at {}", entry.host, key,
                                       base::micros(of.now), base::micros(found->second));
        }
    }
}

void check_versions(network& of)
{
    for (auto& process : of.processes)
    {
        auto const now = std::pair(process.incarnation, config::version(process.replica.current));
        if (now < process.last_version)
        {
            of.violation = fmt::format("{} went back to version {}", process.host, now.second);
        }
        process.last_version = now;
    }
    for (auto const& [version, at] : of.accepted_at)
    {
        auto const late = of.now - at - config::in_force_target;
        bool const due = late >= 0s && late < step_time && at >= of.fault_free_since;
        for (auto const& process : of.processes)
        {
            if (due && config::version(process.replica.current) < version)
            {
                of.violation =
                    fmt::format("{} has version {} 10 s after {} was accepted", process.host,
                                config::version(process.replica.current), version);
            }
        }
    }
}

} // namespace gooseberrywood::test
