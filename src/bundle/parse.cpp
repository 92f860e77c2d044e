#include "bundle/parse.hpp"

#include "base/toml_reader.hpp"

#include <fmt/format.h>

#include <array>
#include <unordered_map>
#include <unordered_set>

namespace gooseberrywood::bundle
{

namespace
{

using base::presence;
using base::toml_reader;
using namespace std::chrono_literals;

// The store takes values of up to 1 MB; the record also holds the signature and the domains that
// are out, and `bundle apply` checks its whole size.
constexpr std::size_t max_bundle_bytes = 1'000'000;
constexpr std::size_t sha256_digits = 64;
constexpr std::uint32_t max_weight = 1'000'000;
constexpr std::uint32_t max_waiting = 1'000'000;
constexpr std::uint64_t max_waiting_bytes = std::uint64_t{16} * 1024 * 1024 * 1024;
constexpr std::uint32_t max_upstream_limit = 65'536;
constexpr std::uint32_t max_staleness = 1'000;
constexpr base::duration max_time = 24h;

// Paths of model routes; a service there would never be reached.
constexpr std::array<std::string_view, 2> model_paths = {"/v1/chat/completions", "/v1/completions"};

constexpr std::array<std::string_view, 7> http_methods = {"GET",    "HEAD",    "POST", "PUT",
                                                          "DELETE", "OPTIONS", "PATCH"};

template <class Range, class T>
bool contains(Range const& in, T const& value)
{
    return std::find(in.begin(), in.end(), value) != in.end();
}

using names = std::unordered_set<std::string>;

/// References are checked once everything is read, since they may point forward.
struct reference
{
    std::uint32_t line = 0;
    std::string key;
    std::string name;
};

/// What must be unique or exist, in sets: a bundle of 1 MB has room for 40,000 teams.
struct references
{
    std::vector<reference> teams;
    std::vector<reference> routes;
    names team_names;
    names route_names;
    names trainer_names;
    std::unordered_map<std::string, std::string> team_of_key;
    std::unordered_map<std::string, std::string> route_of_prefix;
};

reference reference_to(toml_reader const& from, std::string_view key, std::string name)
{
    return {line_of(from, key), fmt::format("{}{}", from.path, key), std::move(name)};
}

void read_new_name(toml_reader& from, names& earlier, std::string& into)
{
    read_name(from, "name", into, presence::required);
    if (!into.empty() && !earlier.insert(into).second)
    {
        add_fault(from, "name", fmt::format("\"{}\" is used twice", into));
    }
}

void read_key_hashes(toml_reader& from, team& into, references& later)
{
    base::read(from, "key_hashes", into.key_hashes);
    // The values are not repeated in messages: somebody may have put a key in place of its hash.
    for (std::size_t i = 0; i < into.key_hashes.size(); ++i)
    {
        auto const key = fmt::format("key_hashes[{}]", i);
        auto const line = line_of(from, "key_hashes");
        if (!base::is_hex(into.key_hashes[i], sha256_digits))
        {
            add_fault(*from.faults, line, from.path + key,
                      "must be a SHA-256 as 64 lower-case hexadecimal digits");
            continue;
        }
        auto const [earlier, added] = later.team_of_key.emplace(into.key_hashes[i], into.name);
        if (!added)
        {
            add_fault(*from.faults, line, from.path + key,
                      fmt::format("is used twice; team \"{}\" holds it already", earlier->second));
        }
    }
}

team read_team(toml_reader& from, references& later)
{
    team one;
    read_new_name(from, later.team_names, one.name);
    read_number(from, "weight", 1U, max_weight, one.weight);
    read_key_hashes(from, one, later);
    base::read(from, "routes", one.routes);
    check_distinct(from, "routes", one.routes);
    read_number(from, "max_queued", 1U, max_waiting, one.max_queued);
    read_number(from, "max_queued_bytes", std::uint64_t{1}, max_waiting_bytes,
                one.max_queued_bytes);
    for (auto const& name : one.routes)
    {
        later.routes.push_back(reference_to(from, "routes", name));
    }
    return one;
}

/// \returns false when the kind is missing or faulty; the keys that depend on it are then not
/// judged.
bool read_kind(toml_reader& from, route& into)
{
    std::string kind;
    base::read(from, "kind", kind, presence::required);
    if (kind == "service")
    {
        into.kind = route_kind::service;
    }
    else if (!kind.empty() && kind != "model")
    {
        add_fault(from, "kind", "must be model or service");
        return false;
    }
    return !kind.empty();
}

bool is_path_prefix(std::string_view text)
{
    bool const plain =
        std::all_of(text.begin(), text.end(),
                    [](char c) {
                        return c > ' ' && c < 0x7f && c != '?' && c != '#' && c != '%' && c != '\\';
                    });
    bool const dots = text.find("/.") != std::string_view::npos;
    bool const empty_segment = text.find("//") != std::string_view::npos;
    return plain && !dots && !empty_segment && text.starts_with('/') &&
           (text == "/" || !text.ends_with('/'));
}

void read_path_prefix(toml_reader& from, route& into, references& later)
{
    base::read(from, "path_prefix", into.path_prefix, presence::required);
    if (into.path_prefix.empty())
    {
        return;
    }
    if (!is_path_prefix(into.path_prefix))
    {
        add_fault(from, "path_prefix",
                  "must be a path such as /stock, without a / at its end, dot segments, escapes or "
                  "query");
        return;
    }
    for (auto const path : model_paths)
    {
        if (into.path_prefix == path || into.path_prefix.starts_with(fmt::format("{}/", path)))
        {
            add_fault(from, "path_prefix", fmt::format("{} belongs to the model routes", path));
        }
    }
    auto const [earlier, added] = later.route_of_prefix.emplace(into.path_prefix, into.name);
    if (!added)
    {
        add_fault(from, "path_prefix",
                  fmt::format("\"{}\" is used twice; route \"{}\" has it already", into.path_prefix,
                              earlier->second));
    }
}

void read_service_keys(toml_reader& from, route& into, bool kind_known, references& later)
{
    if (into.kind == route_kind::service)
    {
        read_path_prefix(from, into, later);
        base::read(from, "idempotent_methods", into.idempotent_methods);
        check_distinct(from, "idempotent_methods", into.idempotent_methods);
        for (auto const& method : into.idempotent_methods)
        {
            if (!contains(http_methods, method))
            {
                add_fault(from, "idempotent_methods",
                          fmt::format("\"{}\" is not an HTTP method in capital letters", method));
            }
        }
        return;
    }
    for (auto const* key : {"path_prefix", "idempotent_methods"})
    {
        from.known.emplace(key);
        if (kind_known && has(from, key))
        {
            add_fault(from, key, "only a route of kind service has this key");
        }
    }
}

route read_route(toml_reader& from, references& later)
{
    route one;
    read_new_name(from, later.route_names, one.name);
    bool const kind_known = read_kind(from, one);
    read_service_keys(from, one, kind_known, later);
    base::read(from, "open", one.open);
    base::read(from, "open_team", one.open_team,
               one.open ? presence::required : presence::optional);
    if (has(from, "open_team") && !one.open)
    {
        add_fault(from, "open_team", "only an open route has this key; add open = true");
    }
    if (!one.open_team.empty())
    {
        later.teams.push_back(reference_to(from, "open_team", one.open_team));
    }
    read_number(from, "fresh_limit", 1U, max_upstream_limit, one.fresh_limit);
    read_number(from, "max_limit", 1U, max_upstream_limit, one.max_limit);
    if (one.fresh_limit > one.max_limit)
    {
        add_fault(from, "fresh_limit",
                  fmt::format("{} is above max_limit {}", one.fresh_limit, one.max_limit));
    }
    read_seconds(from, "warm_up_s", 0s, max_time, one.warm_up);
    read_seconds(from, "timeout_s", 1us, max_time, one.timeout);
    return one;
}

trainer read_trainer(toml_reader& from, references& later)
{
    trainer one;
    read_new_name(from, later.trainer_names, one.name);
    base::read(from, "team", one.team, presence::required);
    base::read(from, "route", one.route, presence::required);
    read_number(from, "max_staleness_versions", 0U, max_staleness, one.max_staleness_versions);
    if (!one.team.empty())
    {
        later.teams.push_back(reference_to(from, "team", one.team));
    }
    if (!one.route.empty())
    {
        later.routes.push_back(reference_to(from, "route", one.route));
    }
    return one;
}

void read_domains(toml_reader& from, bundle& into)
{
    base::read(from, "domains", into.domains, presence::required);
    check_distinct(from, "domains", into.domains);
    if (has(from, "domains") && into.domains.empty())
    {
        add_fault(from, "domains", "must name at least one failure domain");
    }
    for (auto const& domain : into.domains)
    {
        if (!base::is_name(domain))
        {
            add_fault(from, "domains",
                      fmt::format("\"{}\" must be 1 to 64 letters, digits, dots, hyphens and "
                                  "underscores",
                                  domain));
        }
    }
}

void check_references(std::vector<reference> const& references, names const& existing,
                      std::string_view what, base::toml_faults& faults)
{
    for (auto const& one : references)
    {
        if (!existing.contains(one.name))
        {
            base::add_fault(faults, one.line, one.key,
                            fmt::format("there is no {} \"{}\"", what, one.name));
        }
    }
}

void check_trainer(toml_reader const& from, bundle const& in, trainer const& one)
{
    auto const* used = find_route(in, one.route);
    auto const* by = find_team(in, one.team);
    if (used != nullptr && used->kind != route_kind::model)
    {
        add_fault(from, "route", fmt::format("route \"{}\" is not of kind model", one.route));
    }
    if (used != nullptr && by != nullptr && !may_use(*by, *used))
    {
        add_fault(from, "route",
                  fmt::format("team \"{}\" may not use route \"{}\"", one.team, one.route));
    }
}

void read_all(toml_reader& from, bundle& into)
{
    references later;
    constexpr auto newest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    read_number(from, "version", std::uint64_t{1}, newest, into.version, presence::required);
    read_name(from, "deployment", into.deployment, presence::required);
    read_domains(from, into);
    read_tables(from, "teams",
                [&](toml_reader& one) { into.teams.push_back(read_team(one, later)); });
    read_tables(from, "routes",
                [&](toml_reader& one) { into.routes.push_back(read_route(one, later)); });
    read_tables(from, "trainers",
                [&](toml_reader& one)
                {
                    into.trainers.push_back(read_trainer(one, later));
                    check_trainer(one, into, into.trainers.back());
                });
    check_references(later.teams, later.team_names, "team", *from.faults);
    check_references(later.routes, later.route_names, "route", *from.faults);
    check_unknown_keys(from);
}

} // namespace

base::result<bundle> parse(std::string_view text, std::string_view file)
{
    base::toml_faults faults{std::string(file), {}};
    bundle made;
    if (text.size() > max_bundle_bytes)
    {
        base::add_fault(
            faults, 1, "TOML",
            fmt::format("the bundle has {} bytes, more than {}", text.size(), max_bundle_bytes));
    }
    else if (auto const table = base::parse_toml(text, faults))
    {
        toml_reader from{&*table, "", &faults, {}};
        read_all(from, made);
    }
    if (!faults.found.empty())
    {
        return tl::unexpected(to_error(std::move(faults), base::result_code::bundle_invalid));
    }
    return made;
}

} // namespace gooseberrywood::bundle
