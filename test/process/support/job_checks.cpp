#include "process/support/job_checks.hpp"

#include "process/support/eventually.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <set>

namespace gooseberrywood::test
{

void check_whole(nlohmann::json const& results, std::string const& id,
                 std::vector<int> const& events)
{
    std::set<std::string> seen;
    for (auto const& result : results)
    {
        auto const sample = result.at("id").get<std::string>();
        CHECK(seen.insert(sample).second);
        CHECK(result.at("state") == "done");
        auto const index = std::stoul(sample.substr(id.size() + 2));
        CHECK(result.at("text") == whole_text(sample, events.at(index)));
        CHECK(result.at("score") == "stamp-" + sample + "-score");
    }
    CHECK(seen.size() == events.size());
}

nlohmann::json upstream_state(site_service const& of, std::string const& id)
{
    auto const state = site_state(of);
    for (auto const& one : state.at("upstreams"))
    {
        if (one.at("id") == id)
        {
            return one;
        }
    }
    return {};
}

nlohmann::json gateway_state(gateway_under_test const& of)
{
    return get_json(fmt::format("http://127.0.0.1:{}/state", of.admin_port));
}

bool wait_members(gateway_under_test const& at, std::size_t count)
{
    return eventually([&] { return gateway_state(at).at("members").size() == count; });
}

std::size_t listed_count(site_service const& of, std::size_t gateway, std::string const& id)
{
    return read_results(of.gateways[gateway], id).size();
}

} // namespace gooseberrywood::test
