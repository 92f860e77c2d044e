// Stand-in for the users' platform: the metadata store, the workers' entries and the duties.
#ifndef REVIEW_STANDIN_2_PLATFORM_HPP
#define REVIEW_STANDIN_2_PLATFORM_HPP

#include "common.hpp"

namespace review
{

/// The store of PROTOCOL.md, with the answer time and the page size of the users' sheets.
struct platform
{
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct lease
    {
        milliseconds length{};
        clock_type::time_point ends_at{};
    };

    static constexpr std::size_t page_items = 500;
    static constexpr std::size_t page_bytes = 1'000'000;
    static constexpr std::size_t max_entries = 32;
    static constexpr std::size_t max_key_bytes = 200;
    static constexpr int answer_ms = 4;

    std::mutex mutex;
    std::map<std::string, item> items;
    std::map<std::uint64_t, lease> leases;
    std::uint64_t revision = 10;
    std::uint64_t last_lease = 0;
    std::vector<json> usage;
    std::uint64_t calls = 0;
    server http;

    bool start()
    {
        http.handle = [this](int fd, message const& request)
        {
            sleep_ms(answer_ms);
            std::string answer;
            {
                std::lock_guard const lock(mutex);
                answer = respond(request);
            }
            return send_all(fd, answer);
        };
        return http.start();
    }

    /// Writes as the operator or a worker.
    void put(std::string const& key, std::string const& value)
    {
        std::lock_guard const lock(mutex);
        write(key, value, 0);
    }

    void remove(std::string const& key)
    {
        std::lock_guard const lock(mutex);
        revision += items.erase(key);
    }

    std::optional<std::string> value_of(std::string const& key)
    {
        std::lock_guard const lock(mutex);
        auto const found = items.find(key);
        return found != items.end() ? std::optional(found->second.value) : std::nullopt;
    }

    std::size_t count_with_prefix(std::string const& prefix)
    {
        std::lock_guard const lock(mutex);
        std::size_t count = 0;
        for (auto it = items.lower_bound(prefix);
             it != items.end() && it->first.starts_with(prefix); ++it)
        {
            ++count;
        }
        return count;
    }

private:
    void write(std::string const& key, std::string const& value, std::uint64_t lease_id)
    {
        ++revision;
        set(key, value, lease_id);
    }

    void set(std::string const& key, std::string const& value, std::uint64_t lease_id)
    {
        auto& one = items[key];
        one.created = one.created != 0 ? one.created : revision;
        one.value = value;
        one.revision = revision;
        one.lease = lease_id;
    }

    void end_lease(std::uint64_t id)
    {
        leases.erase(id);
        revision += std::erase_if(items, [&](auto const& one) { return one.second.lease == id; });
    }

    void expire()
    {
        std::vector<std::uint64_t> ended;
        for (auto const& [id, one] : leases)
        {
            if (clock_type::now() >= one.ends_at)
            {
                ended.push_back(id);
            }
        }
        for (auto const id : ended)
        {
            end_lease(id);
        }
    }

    static json shown(std::string const& key, item const& one)
    {
        return {{"key", key},
                {"value", to_base64(one.value)},
                {"revision", one.revision},
                {"created", one.created},
                {"lease", one.lease}};
    }

    std::string range(message const& request) const
    {
        auto const prefix = request.query("prefix");
        auto const after = request.query("after");
        auto list = json::array();
        std::size_t bytes = 0;
        bool has_more = false;
        auto it = after.empty() ? items.lower_bound(prefix)
                                : items.upper_bound(std::max(after, prefix));
        for (; it != items.end() && it->first.starts_with(prefix); ++it)
        {
            if (list.size() == page_items || bytes >= page_bytes)
            {
                has_more = true;
                break;
            }
            bytes += it->second.value.size();
            list.push_back(shown(it->first, it->second));
        }
        return http_response(
            200,
            json{{"items", list}, {"has_more", has_more}, {"current_rev", revision}}.dump(),
            {{"Content-Type", "application/json"}});
    }

    std::string transaction(json const& body)
    {
        auto const& expected = body.at("expected");
        auto const& writes = body.at("set_keys");
        auto const& removals = body.at("remove");
        if (expected.size() + writes.size() + removals.size() > max_entries)
        {
            return http_response(400, "{}");
        }
        for (auto const& row : writes)
        {
            auto const key = row.at("key").get<std::string>();
            if (key.size() > max_key_bytes)
            {
                return http_response(400, "{}");
            }
            if (key.starts_with("op/") || key.starts_with("servers/"))
            {
                return http_response(403, "{}");
            }
        }
        bool holds = true;
        auto current = json::array();
        for (auto const& row : expected)
        {
            auto const found = items.find(row.at("key").get<std::string>());
            auto const at = found != items.end() ? found->second.revision : 0;
            holds = holds && at == row.at("revision").get<std::uint64_t>();
            if (found != items.end())
            {
                current.push_back(shown(found->first, found->second));
            }
        }
        if (!holds)
        {
            return http_response(412, json{{"items", current}}.dump());
        }
        for (auto const& row : writes)
        {
            auto const id = row.value("lease", std::uint64_t{0});
            if (id != 0 && !leases.contains(id))
            {
                return http_response(404, "{}");
            }
        }
        ++revision;
        for (auto const& row : writes)
        {
            set(row.at("key").get<std::string>(), from_base64(row.at("value").get<std::string>()),
                row.value("lease", std::uint64_t{0}));
        }
        for (auto const& key : removals)
        {
            items.erase(key.get<std::string>());
        }
        return http_response(200, json{{"revision", revision}}.dump());
    }

    std::string respond(message const& request)
    {
        ++calls;
        expire();
        auto const path = request.path();
        if (path == "/-/kv-key")
        {
            auto const found = items.find(request.query("key"));
            return found == items.end()
                       ? http_response(404, "{}")
                       : http_response(200, shown(found->first, found->second).dump());
        }
        if (path == "/-/kv-range")
        {
            return range(request);
        }
        if (path == "/-/kv-txn")
        {
            return transaction(json::parse(request.body));
        }
        if (path == "/-/kv-lease")
        {
            auto const ttl = json::parse(request.body).at("ttl_ms").get<std::int64_t>();
            leases[++last_lease] = {milliseconds(ttl), clock_type::now() + milliseconds(ttl)};
            return http_response(200, json{{"lease", last_lease}, {"ttl_ms", ttl}}.dump());
        }
        auto const id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        if (path.starts_with("/-/kv-keep/"))
        {
            auto const found = leases.find(id);
            if (found == leases.end())
            {
                return http_response(404, "{}");
            }
            found->second.ends_at = clock_type::now() + found->second.length;
            return http_response(200, "{}");
        }
        if (path.starts_with("/-/kv-lease-end/"))
        {
            end_lease(id);
            return http_response(200, "{}");
        }
        if (path == "/usage")
        {
            usage.push_back(json::parse(request.body));
            return http_response(200, "{}");
        }
        return http_response(404, "{}");
    }
};

/// A route of the desired state.
inline json route(std::string const& host, std::string const& prefix, std::string const& kind,
                  std::string const& service, bool is_public, int timeout_ms, int target_ms)
{
    return {{"name", prefix},
            {"host", host},
            {"prefix", prefix},
            {"route_type", kind},
            {"service", service},
            {"timeout_ms", timeout_ms},
            {"target_latency_ms", target_ms},
            {"attempts", 3},
            {"priority", 1},
            {"public", is_public}};
}

/// The route of a trainer's batch jobs, with the times of the users' sheets.
inline json rollout_route(std::string const& host, std::string const& prefix,
                          std::string const& service)
{
    auto made = route(host, prefix, "rollout", service, false, 10000, 400);
    made["run_target_ms"] = 7500;
    made["retention_s"] = 40;
    made["single_version"] = false;
    return made;
}

inline json limits()
{
    return {{"max_header_bytes", 32768},
            {"max_body_bytes", 33554432},
            {"header_timeout_ms", 5000},
            {"idle_timeout_ms", 10000}};
}

inline json tenants()
{
    return json::array({{{"name", "house-1"}, {"api_keys", {"3fexd9dnn2ctnfzs989a"}}}});
}

inline char const* const key_header = "Bearer 3fexd9dnn2ctnfzs989a";

/// Entry of a worker in the list.
inline json worker_entry(std::string const& service, std::uint16_t port, int slots)
{
    return {{"service", service},
            {"address", "127.0.0.1:" + std::to_string(port)},
            {"zone", "krapina"},
            {"version", "v1"},
            {"slots", slots},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"seq", 1},
            {"born", 1796000000000}};
}

/// A gateway, started with the command of the deploy file.
struct gateway
{
    child process;
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::string settings;
    std::string log;

    /// \param root root of the repository, which is the working directory.
    bool start(std::string const& folder, std::string const& name, std::uint16_t platform_port)
    {
        front = free_port();
        ready = free_port();
        settings = folder + "/" + name + ".toml";
        log = folder + "/" + name + ".log";
        auto const address = [](std::uint16_t port)
        {
            return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
        };
        std::string const text = "host = \"" + name + "\"\n" + "domain = \"krapina\"\n" +
                                 "first_start = true\n" + "listen_callers = " + address(front) +
                                 "listen_ready = " + address(ready) +
                                 "listen_admin = " + address(free_port()) +
                                 "listen_peers = " + address(free_port()) +
                                 "store = " + address(platform_port) +
                                 "duties = " + address(platform_port) +
                                 "key_withdrawal_ms = 5000\nleader_turn_ms = 3000\n"
                                 "usage_window_s = 5\nstop_grace_s = 8\njob_end_ms = 3000\n"
                                 "configuration_in_effect_ms = 2000\n"
                                 "departure_in_effect_ms = 2000\n"
                                 "processor_share = 0.19\nprocessor_cores = 1\n";
        std::FILE* const file = std::fopen(settings.c_str(), "w");
        std::fputs(text.c_str(), file);
        std::fclose(file);
        return launch();
    }

    bool launch()
    {
        return process.start({"target/gooseberrywood", "gateway"},
                             {{"GOOSEBERRYWOOD_CONFIG", settings}, {"GSETTINGS_BACKEND", "memory"}},
                             log);
    }

    [[nodiscard]] bool is_ready() const
    {
        caller asks(ready);
        auto const answer = asks.call("GET", "/-/ready", {{"Host", "x"}}, "", 1000);
        return answer && answer->status() == 200;
    }
};

} // namespace review

#endif
