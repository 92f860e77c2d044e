#include "cli/bundle_file.hpp"
#include "cli/commands.hpp"
#include "cli/report.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_bool(json, false, "prints JSON");

namespace gooseberrywood::cli
{

namespace
{

using json = nlohmann::ordered_json;

double seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::string_view kind_name(bundle::route_kind kind)
{
    return kind == bundle::route_kind::model ? "model" : "service";
}

json to_json(bundle::team const& one)
{
    return {{"name", one.name},
            {"weight", one.weight},
            {"key_hashes", one.key_hashes},
            {"routes", one.routes},
            {"max_queued", one.max_queued},
            {"max_queued_bytes", one.max_queued_bytes}};
}

json to_json(bundle::route const& one)
{
    json made = {{"name", one.name}, {"kind", kind_name(one.kind)}, {"open", one.open}};
    if (one.open)
    {
        made["open_team"] = one.open_team;
    }
    if (one.kind == bundle::route_kind::service)
    {
        made["path_prefix"] = one.path_prefix;
        made["idempotent_methods"] = one.idempotent_methods;
    }
    made["fresh_limit"] = one.fresh_limit;
    made["max_limit"] = one.max_limit;
    made["warm_up_s"] = seconds(one.warm_up);
    made["timeout_s"] = seconds(one.timeout);
    return made;
}

json to_json(bundle::trainer const& one)
{
    return {{"name", one.name},
            {"team", one.team},
            {"route", one.route},
            {"max_staleness_versions", one.max_staleness_versions}};
}

template <class T>
json to_json(std::vector<T> const& all)
{
    auto made = json::array();
    for (auto const& one : all)
    {
        made.push_back(to_json(one));
    }
    return made;
}

json to_json(bundle::bundle const& of)
{
    return {{"version", of.version},        {"deployment", of.deployment},
            {"domains", of.domains},        {"teams", to_json(of.teams)},
            {"routes", to_json(of.routes)}, {"trainers", to_json(of.trainers)}};
}

void print_route(bundle::route const& one)
{
    fmt::print("  {} ({}): limit {} fresh, {} after {} s; timeout {} s", one.name,
               kind_name(one.kind), one.fresh_limit, one.max_limit, seconds(one.warm_up),
               seconds(one.timeout));
    if (one.kind == bundle::route_kind::service)
    {
        fmt::print("; path {}; idempotent {}", one.path_prefix,
                   fmt::join(one.idempotent_methods, " "));
    }
    fmt::print("{}\n", one.open ? fmt::format("; open, for team {}", one.open_team) : "");
}

void print(bundle::bundle const& of)
{
    fmt::print("version {} of {}\ndomains: {}\nroutes:\n", of.version, of.deployment,
               fmt::join(of.domains, ", "));
    std::for_each(of.routes.begin(), of.routes.end(), print_route);
    fmt::print("teams:\n");
    for (auto const& one : of.teams)
    {
        fmt::print("  {}: weight {}; {} keys; routes: {}; at most {} requests or {} bytes wait\n",
                   one.name, one.weight, one.key_hashes.size(),
                   one.routes.empty() ? "all" : fmt::format("{}", fmt::join(one.routes, ", ")),
                   one.max_queued, one.max_queued_bytes);
    }
    fmt::print("trainers:\n");
    for (auto const& one : of.trainers)
    {
        fmt::print("  {}: team {}; route {}; samples at most {} versions old\n", one.name, one.team,
                   one.route, one.max_staleness_versions);
    }
}

} // namespace

int bundle_show_command(std::span<char const* const> args)
{
    auto const file = detail::read_bundle(args[0]);
    if (!file)
    {
        return report(file.error());
    }
    if (FLAGS_json)
    {
        fmt::print("{}\n", to_json(file->content).dump(2));
        return 0;
    }
    print(file->content);
    return 0;
}

} // namespace gooseberrywood::cli
