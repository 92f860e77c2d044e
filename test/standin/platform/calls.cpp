#include "standin/platform/platform.hpp"

#include <algorithm>
#include <cstdlib>
#include <memory>

namespace gooseberrywood::test
{

namespace
{

using nlohmann::json;
using provider::call_kind;

// Larger parts would only cost the test time.
constexpr std::uint64_t max_weight_part = 1024 * 1024;

// libsoup has no name for this status.
constexpr unsigned too_many_requests = 429;

/// Part of a path, counted from 0 behind "/v1/".
std::string segment(std::string const& path, std::size_t index)
{
    std::size_t begin = std::string_view("/v1/").size();
    for (; index > 0; --index)
    {
        begin = path.find('/', begin) + 1;
    }
    return path.substr(begin, path.find('/', begin) - begin);
}

std::uint64_t parameter(SoupServerMessage* message, std::string const& name)
{
    auto const query = "&" + query_of(message);
    auto const at = query.find("&" + name + "=");
    return at == std::string::npos
               ? 0
               : std::strtoull(query.c_str() + at + name.size() + 2, nullptr, 10);
}

void answer_bytes(SoupServerMessage* message, std::string const& bytes)
{
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message, "application/octet-stream", SOUP_MEMORY_COPY,
                                     bytes.data(), bytes.size());
}

void answer_value(SoupServerMessage* message, provider::versioned_value const& value)
{
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "X-Revision",
                                 std::to_string(value.revision).c_str());
    answer_bytes(message, value.value);
}

void compare_and_swap(platform_standin& self, SoupServerMessage* message, std::string const& key)
{
    auto& stored = self.values[key];
    if (stored.revision != parameter(message, "expected"))
    {
        answer(message, SOUP_STATUS_PRECONDITION_FAILED, {{"revision", stored.revision}});
        return;
    }
    stored = {body_of(message), ++self.last_revision};
    answer(message, SOUP_STATUS_OK, {{"revision", stored.revision}});
    for (auto watch = self.watches.begin(); watch != self.watches.end();)
    {
        if (watch->key == key && watch->above < stored.revision)
        {
            answer_value(watch->message.get(), stored);
            soup_server_message_unpause(watch->message.get());
            watch = self.watches.erase(watch);
        }
        else
        {
            ++watch;
        }
    }
}

void watch(platform_standin& self, SoupServerMessage* message, std::string const& key)
{
    auto const above = parameter(message, "above");
    if (auto const& stored = self.values[key]; stored.revision > above)
    {
        answer_value(message, stored);
        return;
    }
    auto const at = self.watches.insert(self.watches.end(), {base::share(message), key, above, {}});
    auto const wait = base::duration(static_cast<std::int64_t>(parameter(message, "wait_us")));
    at->timer =
        base::at(base::mono_now() + wait,
                 [&self, at]
                 {
                     auto const ended = base::share(at->message.get());
                     self.watches.erase(at);
                     soup_server_message_set_status(ended.get(), SOUP_STATUS_NO_CONTENT, nullptr);
                     soup_server_message_unpause(ended.get());
                 });
    soup_server_message_pause(message);
}

bool is_held(lease_record const& lease)
{
    return !lease.holder.empty() && base::wall_now() < lease.expires_at;
}

void serve_lease(platform_standin& self, SoupServerMessage* message, call_kind kind,
                 std::string const& name)
{
    auto& lease = self.leases[name];
    if (kind == call_kind::lease_read)
    {
        answer(message, SOUP_STATUS_OK,
               {{"holder", is_held(lease) ? lease.holder : ""}, {"fencing", lease.fencing}});
        return;
    }
    auto const request = json::parse(body_of(message));
    auto const holder = request.at("holder").get<std::string>();
    auto const expires_at =
        base::wall_now() + base::duration(request.value("length_us", std::int64_t{0}));
    if (kind == call_kind::lease_acquire)
    {
        if (is_held(lease) && lease.holder != holder)
        {
            answer(message, SOUP_STATUS_CONFLICT, {{"holder", lease.holder}});
            return;
        }
        lease = {holder, lease.fencing + 1, expires_at};
        answer(message, SOUP_STATUS_OK, {{"fencing", lease.fencing}});
        return;
    }
    bool const own = is_held(lease) && lease.holder == holder &&
                     lease.fencing == request.at("fencing").get<std::uint64_t>();
    if (kind == call_kind::lease_release)
    {
        lease.holder = own ? "" : lease.holder;
    }
    else if (own)
    {
        lease.expires_at = expires_at;
    }
    else
    {
        answer(message, SOUP_STATUS_CONFLICT, {{"holder", lease.holder}});
        return;
    }
    answer(message, SOUP_STATUS_OK, json::object());
}

/// Records an order or a report, also a refused one.
void record_fenced(platform_standin& self, SoupServerMessage* message, json& list)
{
    auto record = json::parse(body_of(message));
    auto const fencing = record.at("fencing").get<std::uint64_t>();
    bool const refused = fencing < self.highest_fencing && self.checks_fencing;
    self.highest_fencing = std::max(self.highest_fencing, fencing);
    record["refused"] = refused;
    record["received_wall_us"] = base::micros(base::wall_now());
    list.push_back(std::move(record));
    answer(message, refused ? SOUP_STATUS_CONFLICT : SOUP_STATUS_OK, json::object());
}

bool exceeds_weight_rate(platform_standin& self)
{
    if (self.weight_calls_per_s <= 0)
    {
        return false;
    }
    auto const now = base::mono_now();
    auto const passed = std::chrono::duration<double>(now - self.weight_tokens_at).count();
    self.weight_tokens = std::min(std::max(1.0, self.weight_calls_per_s),
                                  self.weight_tokens + passed * self.weight_calls_per_s);
    self.weight_tokens_at = now;
    if (self.weight_tokens < 1)
    {
        return true;
    }
    self.weight_tokens -= 1;
    return false;
}

void serve_weights(platform_standin& self, SoupServerMessage* message, call_kind kind,
                   std::string const& path)
{
    if (exceeds_weight_rate(self))
    {
        answer(message, too_many_requests, json::object());
        return;
    }
    auto const& versions = self.weights.try_emplace(segment(path, 1), json::array()).first->second;
    if (kind == call_kind::weight_versions)
    {
        answer(message, SOUP_STATUS_OK, versions);
        return;
    }
    for (auto const& one : versions)
    {
        if (one.at("version") == std::strtoull(segment(path, 2).c_str(), nullptr, 10))
        {
            auto const bytes = one.at("bytes").get<std::uint64_t>();
            auto const offset = std::min(bytes, parameter(message, "offset"));
            auto const size =
                std::min({bytes - offset, parameter(message, "size"), max_weight_part});
            answer_bytes(message, std::string(size, 'w'));
            return;
        }
    }
    answer(message, SOUP_STATUS_NOT_FOUND, json::object());
}

} // namespace

std::optional<call_kind> kind_of(std::string const& method, std::string const& path,
                                 std::string const& query)
{
    bool const reads = method == "GET";
    if (path.starts_with("/v1/store/"))
    {
        auto const read =
            query.starts_with("above=") ? call_kind::store_watch : call_kind::store_read;
        return reads ? read : call_kind::store_compare_and_swap;
    }
    if (path.starts_with("/v1/leases/"))
    {
        if (path.ends_with("/acquire"))
        {
            return call_kind::lease_acquire;
        }
        if (path.ends_with("/renew"))
        {
            return call_kind::lease_renew;
        }
        return path.ends_with("/release") ? call_kind::lease_release : call_kind::lease_read;
    }
    if (path.starts_with("/v1/weights/"))
    {
        return std::ranges::count(path, '/') == 3 ? call_kind::weight_versions
                                                  : call_kind::weight_read;
    }
    static std::map<std::string, call_kind> const others = {{"/v1/hosts", call_kind::hosts},
                                                            {"/v1/orders", call_kind::order},
                                                            {"/v1/usage", call_kind::usage}};
    auto const found = others.find(path);
    return found == others.end() ? std::nullopt : std::optional(found->second);
}

void serve_call(platform_standin& self, SoupServerMessage* message, call_kind kind)
{
    auto const path = path_of(message);
    switch (kind)
    {
    case call_kind::store_read:
        answer_value(message, self.values[segment(path, 1)]);
        break;
    case call_kind::store_compare_and_swap:
        compare_and_swap(self, message, segment(path, 1));
        break;
    case call_kind::store_watch:
        watch(self, message, segment(path, 1));
        break;
    case call_kind::hosts:
        answer(message, SOUP_STATUS_OK, self.hosts);
        break;
    case call_kind::order:
        record_fenced(self, message, self.orders);
        break;
    case call_kind::usage:
        record_fenced(self, message, self.usage);
        break;
    case call_kind::weight_versions:
    case call_kind::weight_read:
        serve_weights(self, message, kind, path);
        break;
    default:
        serve_lease(self, message, kind, segment(path, 1));
        break;
    }
}

} // namespace gooseberrywood::test
