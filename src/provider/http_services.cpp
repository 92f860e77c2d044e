#include "provider/http_services.hpp"

#include "provider/detail/http_client.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gooseberrywood::provider
{

namespace
{

using base::result_code;
using detail::call_errors;
using detail::http_answer;
using nlohmann::json;

using client_ptr = std::shared_ptr<detail::http_client>;

constexpr call_errors read_errors{};
constexpr call_errors store_write{result_code::store_unavailable,
                                  result_code::store_outcome_unknown, result_code::compare_failed};
constexpr call_errors lease_write{result_code::store_unavailable,
                                  result_code::store_outcome_unknown, result_code::lease_lost};
constexpr call_errors fenced_write{result_code::platform_refused, result_code::outcome_unknown,
                                   result_code::fenced};

// The platform answers a watch this much before its deadline, so that the answer arrives in time.
constexpr base::duration watch_slack = std::chrono::milliseconds(200);

std::string escape(std::string const& text)
{
    std::unique_ptr<char, base::glib_free> const escaped(
        g_uri_escape_string(text.c_str(), nullptr, FALSE));
    return escaped.get();
}

std::string lease_path(std::string const& lease, std::string_view what)
{
    return fmt::format("/v1/leases/{}{}", escape(lease), what);
}

detail::http_call post(call_kind kind, std::string path, std::string body, base::mono_time deadline,
                       call_errors const& errors)
{
    return {kind, "POST", std::move(path), std::move(body), deadline, errors};
}

detail::http_call get(call_kind kind, std::string path, base::mono_time deadline)
{
    return {kind, "GET", std::move(path), {}, deadline, read_errors};
}

/// Passes a JSON answer on.
template <class T, class Read>
done<http_answer> json_to(done<T> then, call_errors errors, Read read)
{
    return [then = std::move(then), errors, read](base::result<http_answer> const& answer)
    {
        then(detail::parse_answer<T>(answer, errors, read));
    };
}

done<http_answer> nothing_to(done<void> then)
{
    return [then = std::move(then)](base::result<http_answer> const& answer)
    {
        then(answer ? base::result<void>() : base::result<void>(tl::unexpected(answer.error())));
    };
}

done<http_answer> value_to(done<versioned_value> then)
{
    return [then = std::move(then)](base::result<http_answer> const& answer)
    {
        then(answer.map(
            [](http_answer const& got) {
                return versioned_value{got.body, got.revision};
            }));
    };
}

void fill_values(store& made, client_ptr const& client)
{
    made.read =
        [client](std::string const& key, base::mono_time deadline, done<versioned_value> then)
    {
        detail::send(client, get(call_kind::store_read, "/v1/store/" + escape(key), deadline),
                     value_to(std::move(then)));
    };
    made.compare_and_swap = [client](std::string const& key, std::uint64_t expected,
                                     std::string const& value, base::mono_time deadline,
                                     done<std::uint64_t> then)
    {
        auto path = fmt::format("/v1/store/{}?expected={}", escape(key), expected);
        detail::send(
            client,
            post(call_kind::store_compare_and_swap, std::move(path), value, deadline, store_write),
            json_to(std::move(then), store_write,
                    [](json const& got) { return got.at("revision").get<std::uint64_t>(); }));
    };
    made.watch = [client](std::string const& key, std::uint64_t above, base::mono_time deadline,
                          done<versioned_value> then)
    {
        auto const wait = std::max(base::duration(0), deadline - watch_slack - base::mono_now());
        auto path =
            fmt::format("/v1/store/{}?above={}&wait_us={}", escape(key), above, wait.count());
        detail::send(client, get(call_kind::store_watch, std::move(path), deadline),
                     value_to(std::move(then)));
    };
}

void fill_leases(store& made, client_ptr const& client)
{
    made.acquire_lease = [client](std::string const& lease, std::string const& holder,
                                  base::duration length, base::mono_time deadline,
                                  done<std::uint64_t> then)
    {
        json const body = {{"holder", holder}, {"length_us", length.count()}};
        detail::send(client,
                     post(call_kind::lease_acquire, lease_path(lease, "/acquire"), body.dump(),
                          deadline, store_write),
                     json_to(std::move(then), store_write,
                             [](json const& got)
                             { return got.at("fencing").get<std::uint64_t>(); }));
    };
    made.renew_lease = [client](std::string const& lease, std::string const& holder,
                                std::uint64_t fencing, base::duration length,
                                base::mono_time deadline, done<void> then)
    {
        json const body = {{"holder", holder}, {"fencing", fencing}, {"length_us", length.count()}};
        detail::send(client,
                     post(call_kind::lease_renew, lease_path(lease, "/renew"), body.dump(),
                          deadline, lease_write),
                     nothing_to(std::move(then)));
    };
    made.release_lease = [client](std::string const& lease, std::string const& holder,
                                  std::uint64_t fencing, base::mono_time deadline, done<void> then)
    {
        json const body = {{"holder", holder}, {"fencing", fencing}};
        detail::send(client,
                     post(call_kind::lease_release, lease_path(lease, "/release"), body.dump(),
                          deadline, lease_write),
                     nothing_to(std::move(then)));
    };
    made.read_lease =
        [client](std::string const& lease, base::mono_time deadline, done<lease_state> then)
    {
        detail::send(client, get(call_kind::lease_read, lease_path(lease, ""), deadline),
                     json_to(std::move(then), read_errors,
                             [](json const& got)
                             {
                                 return lease_state{got.at("holder").get<std::string>(),
                                                    got.at("fencing").get<std::uint64_t>()};
                             }));
    };
}

host_list make_host_list(client_ptr const& client)
{
    return {[client](base::mono_time deadline, done<std::vector<host_info>> then)
            {
                auto const read = [](json const& got)
                {
                    std::vector<host_info> hosts;
                    for (auto const& one : got)
                    {
                        hosts.push_back(
                            {one.at("host").get<std::string>(), one.at("domain").get<std::string>(),
                             one.at("address").get<std::string>(), one.value("wire_address", ""),
                             one.value("leaving", false)});
                    }
                    return hosts;
                };
                detail::send(client, get(call_kind::hosts, "/v1/hosts", deadline),
                             json_to(std::move(then), read_errors, read));
            }};
}

orders make_orders(client_ptr const& client)
{
    return {
        [client](upstream_order const& order, base::mono_time deadline, done<void> then)
        {
            json const body = {{"id", order.id},
                               {"fencing", order.fencing},
                               {"domain", order.domain},
                               {"route", order.route},
                               {"upstreams", order.upstreams}};
            detail::send(client,
                         post(call_kind::order, "/v1/orders", body.dump(), deadline, fenced_write),
                         nothing_to(std::move(then)));
        }};
}

usage_sink make_usage_sink(client_ptr const& client)
{
    return {
        [client](usage_report const& report, base::mono_time deadline, done<void> then)
        {
            json lines = json::array();
            for (auto const& line : report.lines)
            {
                lines.push_back({{"team", line.team},
                                 {"route", line.route},
                                 {"requests", line.requests},
                                 {"prompt_tokens", line.prompt_tokens},
                                 {"generated_tokens", line.generated_tokens}});
            }
            json const body = {{"begin_us", base::micros(report.begin)},
                               {"end_us", base::micros(report.end)},
                               {"fencing", report.fencing},
                               {"lines", lines}};
            detail::send(client,
                         post(call_kind::usage, "/v1/usage", body.dump(), deadline, fenced_write),
                         nothing_to(std::move(then)));
        }};
}

weight_store make_weight_store(client_ptr const& client)
{
    weight_store made;
    made.versions = [client](std::string const& model, base::mono_time deadline,
                             done<std::vector<weight_version>> then)
    {
        auto const read = [model](json const& got)
        {
            std::vector<weight_version> versions;
            for (auto const& one : got)
            {
                versions.push_back({model, one.at("version").get<std::uint64_t>(),
                                    one.at("bytes").get<std::uint64_t>()});
            }
            return versions;
        };
        detail::send(client,
                     get(call_kind::weight_versions, "/v1/weights/" + escape(model), deadline),
                     json_to(std::move(then), read_errors, read));
    };
    made.read = [client](weight_version const& which, std::uint64_t offset, std::uint64_t size,
                         base::mono_time deadline, done<std::string> then)
    {
        auto path = fmt::format("/v1/weights/{}/{}?offset={}&size={}", escape(which.model),
                                which.version, offset, size);
        detail::send(client, get(call_kind::weight_read, std::move(path), deadline),
                     [then = std::move(then)](base::result<http_answer> const& answer)
                     { then(answer.map([](http_answer const& got) { return got.body; })); });
    };
    return made;
}

} // namespace

base::result<services> make_http_services(std::string_view url)
{
    auto const client = detail::make_http_client(url);
    if (!client)
    {
        return tl::unexpected(client.error());
    }
    services made;
    fill_values(made.store, *client);
    fill_leases(made.store, *client);
    made.hosts = make_host_list(*client);
    made.orders = make_orders(*client);
    made.usage = make_usage_sink(*client);
    made.weights = make_weight_store(*client);
    made.calls = [client = *client]
    {
        return client->calls;
    };
    return made;
}

} // namespace gooseberrywood::provider
