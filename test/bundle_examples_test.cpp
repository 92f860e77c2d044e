#include "base/file.hpp"
#include "base/hash.hpp"
#include "bundle.hpp"
#include "settings.hpp"

#include "test_files.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

using namespace gooseberrywood;

namespace
{

struct deployment
{
    std::string file;
    std::size_t domains;
    std::string model;
    std::string service;
};

struct demo_key
{
    std::string team;
    std::string key;
};

/// The demo keys in the comment at the head of an example: team and key, one a line.
std::vector<demo_key> demo_keys(std::string const& text)
{
    std::vector<demo_key> keys;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
    {
        std::istringstream words(line);
        std::string hash;
        std::string team;
        std::string key;
        if (words >> hash >> team >> key && hash == "#" && key.starts_with("demo-"))
        {
            keys.push_back({team, key});
        }
    }
    return keys;
}

} // namespace

SCENARIO("the example bundles have no fault and the size of their deployments")
{
    for (auto const& expected :
         {deployment{"examples/zagorje.toml", 3, "planner-lm", "bindery-app"},
          deployment{"examples/huella-unida.toml", 4, "modelos-grabado", "mostrador"}})
    {
        CAPTURE(expected.file);
        auto const text = base::read_file(test::source_path(expected.file));
        REQUIRE(text.has_value());
        auto const read = bundle::parse(*text, expected.file);
        REQUIRE_MESSAGE(read.has_value(), read.error().message);
        CHECK(read->domains.size() == expected.domains);
        CHECK(read->teams.size() == 8);
        CHECK(read->trainers.size() == 2);
        REQUIRE(find_route(*read, expected.model) != nullptr);
        CHECK(find_route(*read, expected.model)->kind == bundle::route_kind::model);
        auto const* orders = find_route(*read, expected.service);
        REQUIRE(orders != nullptr);
        CHECK(orders->kind == bundle::route_kind::service);
        // Guards against an example that lets an order run twice.
        CHECK(std::find(orders->idempotent_methods.begin(), orders->idempotent_methods.end(),
                        "POST") == orders->idempotent_methods.end());

        auto const keys = demo_keys(*text);
        CHECK(keys.size() == 9);
        for (auto const& one : keys)
        {
            CAPTURE(one.key);
            auto const* holder = find_team_by_key(*read, base::sha256_hex(one.key));
            REQUIRE(holder != nullptr);
            CHECK(holder->name == one.team);
        }
    }
}

SCENARIO("the example settings have no fault")
{
    for (auto const* file :
         {"examples/entry.toml", "examples/agent.toml", "examples/operator.toml"})
    {
        auto const read = settings::load(test::source_path(file));
        REQUIRE_MESSAGE(read.has_value(), read.error().message);
    }
}
