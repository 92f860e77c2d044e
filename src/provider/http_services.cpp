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
using detail::call_error_codes;
using detail::http_response;
using nlohmann::json;

using client_ptr = std::shared_ptr<detail::http_client>;

constexpr call_error_codes read_error_codes{};
constexpr call_error_codes store_write_codes{result_code::store_unavailable,
                                             result_code::store_outcome_unknown,
                                             result_code::compare_failed};
constexpr call_error_codes lease_write_codes{
    result_code::store_unavailable, result_code::store_outcome_unknown, result_code::lease_lost};
constexpr call_error_codes fenced_write_codes{result_code::platform_refused,
                                              result_code::outcome_unknown, result_code::fenced};

// The platform is asked to end a watch this long before the deadline of the call, so that its
// response arrives in time.
constexpr base::duration watch_response_margin = std::chrono::milliseconds(200);

std::string escape(std::string const& text)
{
    std::unique_ptr<char, base::glib_free> const escaped(
        g_uri_escape_string(text.c_str(), nullptr, FALSE));
    return escaped.get();
}

std::string lease_path(std::string const& lease, std::string_view action)
{
    return fmt::format("/v1/leases/{}{}", escape(lease), action);
}

detail::http_call post(call_kind kind, std::string path, std::string body, base::mono_time deadline,
                       call_error_codes const& errors)
{
    return {kind, "POST", std::move(path), std::move(body), deadline, errors};
}

detail::http_call get(call_kind kind, std::string path, base::mono_time deadline)
{
    return {kind, "GET", std::move(path), {}, deadline, read_error_codes};
}

/// Returns a handler that parses a JSON response and passes the value to `on_done`.
template <class T, class Read>
done<http_response> json_handler(done<T> on_done, call_error_codes errors, Read read)
{
    return [on_done = std::move(on_done), errors, read](base::result<http_response> const& response)
    {
        on_done(detail::parse_response<T>(response, errors, read));
    };
}

done<http_response> status_handler(done<void> on_done)
{
    return [on_done = std::move(on_done)](base::result<http_response> const& response)
    {
        on_done(response ? base::result<void>()
                         : base::result<void>(tl::unexpected(response.error())));
    };
}

done<http_response> value_handler(done<versioned_value> on_done)
{
    return [on_done = std::move(on_done)](base::result<http_response> const& response)
    {
        on_done(response.map(
            [](http_response const& received) {
                return versioned_value{received.body, received.revision};
            }));
    };
}

void set_key_value_functions(store& functions, client_ptr const& client)
{
    functions.read =
        [client](std::string const& key, base::mono_time deadline, done<versioned_value> on_done)
    {
        detail::send(client, get(call_kind::store_read, "/v1/store/" + escape(key), deadline),
                     value_handler(std::move(on_done)));
    };
    functions.compare_and_swap = [client](std::string const& key, std::uint64_t expected,
                                          std::string const& value, base::mono_time deadline,
                                          done<std::uint64_t> on_done)
    {
        auto path = fmt::format("/v1/store/{}?expected={}", escape(key), expected);
        detail::send(client,
                     post(call_kind::store_compare_and_swap, std::move(path), value, deadline,
                          store_write_codes),
                     json_handler(std::move(on_done), store_write_codes,
                                  [](json const& parsed)
                                  { return parsed.at("revision").get<std::uint64_t>(); }));
    };
    functions.watch = [client](std::string const& key, std::uint64_t above,
                               base::mono_time deadline, done<versioned_value> on_done)
    {
        auto const wait =
            std::max(base::duration(0), deadline - watch_response_margin - base::mono_now());
        auto path =
            fmt::format("/v1/store/{}?above={}&wait_us={}", escape(key), above, wait.count());
        detail::send(client, get(call_kind::store_watch, std::move(path), deadline),
                     value_handler(std::move(on_done)));
    };
}

void set_lease_functions(store& functions, client_ptr const& client)
{
    functions.acquire_lease = [client](std::string const& lease, std::string const& holder,
                                       base::duration length, base::mono_time deadline,
                                       done<std::uint64_t> on_done)
    {
        json const body = {{"holder", holder}, {"length_us", length.count()}};
        detail::send(client,
                     post(call_kind::lease_acquire, lease_path(lease, "/acquire"), body.dump(),
                          deadline, store_write_codes),
                     json_handler(std::move(on_done), store_write_codes,
                                  [](json const& parsed)
                                  { return parsed.at("fencing").get<std::uint64_t>(); }));
    };
    functions.renew_lease = [client](std::string const& lease, std::string const& holder,
                                     std::uint64_t fencing, base::duration length,
                                     base::mono_time deadline, done<void> on_done)
    {
        json const body = {{"holder", holder}, {"fencing", fencing}, {"length_us", length.count()}};
        detail::send(client,
                     post(call_kind::lease_renew, lease_path(lease, "/renew"), body.dump(),
                          deadline, lease_write_codes),
                     status_handler(std::move(on_done)));
    };
    functions.release_lease = [client](std::string const& lease, std::string const& holder,
                                       std::uint64_t fencing, base::mono_time deadline,
                                       done<void> on_done)
    {
        json const body = {{"holder", holder}, {"fencing", fencing}};
        detail::send(client,
                     post(call_kind::lease_release, lease_path(lease, "/release"), body.dump(),
                          deadline, lease_write_codes),
                     status_handler(std::move(on_done)));
    };
    functions.read_lease =
        [client](std::string const& lease, base::mono_time deadline, done<lease_state> on_done)
    {
        detail::send(client, get(call_kind::lease_read, lease_path(lease, ""), deadline),
                     json_handler(std::move(on_done), read_error_codes,
                                  [](json const& parsed)
                                  {
                                      return lease_state{parsed.at("holder").get<std::string>(),
                                                         parsed.at("fencing").get<std::uint64_t>()};
                                  }));
    };
}

host_list make_host_list(client_ptr const& client)
{
    return {
        [client](base::mono_time deadline, done<std::vector<host_info>> on_done)
        {
            auto const read = [](json const& parsed)
            {
                std::vector<host_info> hosts;
                for (auto const& item : parsed)
                {
                    hosts.push_back({item.at("host").get<std::string>(),
                                     item.at("domain").get<std::string>(),
                                     item.at("address").get<std::string>(),
                                     item.value("wire_address", ""), item.value("leaving", false)});
                }
                return hosts;
            };
            detail::send(client, get(call_kind::hosts, "/v1/hosts", deadline),
                         json_handler(std::move(on_done), read_error_codes, read));
        }};
}

orders make_orders(client_ptr const& client)
{
    return {[client](upstream_order const& order, base::mono_time deadline, done<void> on_done)
            {
                json const body = {{"id", order.id},
                                   {"fencing", order.fencing},
                                   {"domain", order.domain},
                                   {"route", order.route},
                                   {"upstreams", order.upstreams}};
                detail::send(
                    client,
                    post(call_kind::order, "/v1/orders", body.dump(), deadline, fenced_write_codes),
                    status_handler(std::move(on_done)));
            }};
}

usage_sink make_usage_sink(client_ptr const& client)
{
    return {[client](usage_report const& report, base::mono_time deadline, done<void> on_done)
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
                detail::send(
                    client,
                    post(call_kind::usage, "/v1/usage", body.dump(), deadline, fenced_write_codes),
                    status_handler(std::move(on_done)));
            }};
}

weight_store make_weight_store(client_ptr const& client)
{
    weight_store functions;
    functions.versions = [client](std::string const& model, base::mono_time deadline,
                                  done<std::vector<weight_version>> on_done)
    {
        auto const read = [model](json const& parsed)
        {
            std::vector<weight_version> versions;
            for (auto const& item : parsed)
            {
                versions.push_back({model, item.at("version").get<std::uint64_t>(),
                                    item.at("bytes").get<std::uint64_t>()});
            }
            return versions;
        };
        detail::send(client,
                     get(call_kind::weight_versions, "/v1/weights/" + escape(model), deadline),
                     json_handler(std::move(on_done), read_error_codes, read));
    };
    functions.read = [client](weight_version const& version, std::uint64_t offset,
                              std::uint64_t size, base::mono_time deadline,
                              done<std::string> on_done)
    {
        auto path = fmt::format("/v1/weights/{}/{}?offset={}&size={}", escape(version.model),
                                version.version, offset, size);
        detail::send(
            client, get(call_kind::weight_read, std::move(path), deadline),
            [on_done = std::move(on_done)](base::result<http_response> const& response) {
                on_done(response.map([](http_response const& received) { return received.body; }));
            });
    };
    return functions;
}

} // namespace

base::result<services> make_http_services(std::string_view url)
{
    auto const client = detail::make_http_client(url);
    if (!client)
    {
        return tl::unexpected(client.error());
    }
    services functions;
    set_key_value_functions(functions.store, *client);
    set_lease_functions(functions.store, *client);
    functions.hosts = make_host_list(*client);
    functions.orders = make_orders(*client);
    functions.usage = make_usage_sink(*client);
    functions.weights = make_weight_store(*client);
    functions.calls = [client = *client]
    {
        return client->calls;
    };
    return functions;
}

} // namespace gooseberrywood::provider
