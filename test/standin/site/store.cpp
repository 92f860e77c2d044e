#include "base/json_fields.hpp"
#include "standin/site/site.hpp"
#include "store/transaction.hpp"

#include <algorithm>

namespace gooseberrywood::test
{

namespace
{

using nlohmann::json;

constexpr std::size_t page_items = 50;
constexpr std::size_t page_bytes = 1'000'000;

std::string query_text(SoupServerMessage* message, char const* name)
{
    auto const query = query_of(message);
    GHashTable* const fields = soup_form_decode(query.c_str());
    auto const* const value = static_cast<char const*>(g_hash_table_lookup(fields, name));
    std::string text = value == nullptr ? "" : value;
    g_hash_table_destroy(fields);
    return text;
}

json shown(std::string const& key, stored_value const& item)
{
    return {{"key", key},
            {"value", base::to_base64(item.value)},
            {"revision", item.revision},
            {"lease", item.lease}};
}

void end_lease(site& self, std::uint64_t lease)
{
    self.leases.erase(lease);
    auto const removed =
        std::erase_if(self.values, [&](auto const& one) { return one.second.lease == lease; });
    self.revision += removed;
}

void expire_leases(site& self)
{
    std::vector<std::uint64_t> ended;
    for (auto const& [id, lease] : self.leases)
    {
        if (base::mono_now() >= lease.ends_at)
        {
            ended.push_back(id);
        }
    }
    for (auto const id : ended)
    {
        end_lease(self, id);
    }
}

void read_key(site& self, SoupServerMessage* message)
{
    auto const key = query_text(message, "key");
    auto const at = self.values.find(key);
    if (at == self.values.end())
    {
        answer(message, SOUP_STATUS_NOT_FOUND, json::object());
        return;
    }
    answer(message, SOUP_STATUS_OK, shown(key, at->second));
}

void read_range(site& self, SoupServerMessage* message)
{
    auto const prefix = query_text(message, "prefix");
    auto const after = query_text(message, "after");
    auto items = json::array();
    std::size_t bytes = 0;
    bool has_more = false;
    for (auto const& [key, item] : self.values)
    {
        if (!key.starts_with(prefix) || key <= after)
        {
            continue;
        }
        if (items.size() == page_items || bytes >= page_bytes)
        {
            has_more = true;
            break;
        }
        items.push_back(shown(key, item));
        bytes += item.value.size();
    }
    answer(message, SOUP_STATUS_OK,
           {{"items", items}, {"has_more", has_more}, {"current_rev", self.revision}});
}

std::uint64_t revision_of(site const& self, std::string const& key)
{
    auto const at = self.values.find(key);
    return at != self.values.end() ? at->second.revision : 0;
}

bool conditions_hold(site const& self, json const& expected)
{
    return std::all_of(expected.begin(), expected.end(),
                       [&](json const& row)
                       {
                           return revision_of(self, row.at("key").get<std::string>()) ==
                                  row.at("revision").get<std::uint64_t>();
                       });
}

void refuse_transaction(site const& self, SoupServerMessage* message, json const& expected)
{
    auto items = json::array();
    for (auto const& row : expected)
    {
        auto const at = self.values.find(row.at("key").get<std::string>());
        if (at != self.values.end())
        {
            items.push_back(shown(at->first, at->second));
        }
    }
    answer(message, SOUP_STATUS_PRECONDITION_FAILED, {{"items", items}});
}

void run_transaction(site& self, SoupServerMessage* message)
{
    auto const body = json::parse(body_of(message));
    auto const entries =
        body.at("expected").size() + body.at("set_keys").size() + body.at("remove").size();
    if (entries > store::max_transaction_entries)
    {
        answer(message, SOUP_STATUS_BAD_REQUEST, json::object());
        return;
    }
    if (!conditions_hold(self, body.at("expected")))
    {
        refuse_transaction(self, message, body.at("expected"));
        return;
    }
    for (auto const& row : body.at("set_keys"))
    {
        auto const lease = row.at("lease").get<std::uint64_t>();
        if (lease != 0 && !self.leases.contains(lease))
        {
            answer(message, SOUP_STATUS_NOT_FOUND, json::object());
            return;
        }
    }
    ++self.revision;
    for (auto const& row : body.at("set_keys"))
    {
        self.values[row.at("key").get<std::string>()] = {
            base::from_base64(row.at("value").get<std::string>()).value(), self.revision,
            row.at("lease").get<std::uint64_t>()};
    }
    for (auto const& key : body.at("remove"))
    {
        self.values.erase(key.get<std::string>());
    }
    answer(message, SOUP_STATUS_OK, {{"revision", self.revision}});
}

void grant(site& self, SoupServerMessage* message)
{
    auto const body = json::parse(body_of(message));
    auto const id = ++self.leases_granted;
    base::duration const length = std::chrono::milliseconds(body.at("ttl_ms").get<std::int64_t>());
    self.leases[id] = {length, base::mono_now() + length};
    answer(message, SOUP_STATUS_OK, {{"lease", id}, {"ttl_ms", body.at("ttl_ms")}});
}

std::uint64_t last_number(std::string const& path)
{
    return std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
}

void renew(site& self, SoupServerMessage* message, std::uint64_t id)
{
    auto const at = self.leases.find(id);
    if (at == self.leases.end())
    {
        answer(message, SOUP_STATUS_NOT_FOUND, json::object());
        return;
    }
    at->second.ends_at = base::mono_now() + at->second.length;
    answer(message, SOUP_STATUS_OK, json::object());
}

void take_report(site& self, SoupServerMessage* message)
{
    auto report = json::parse(body_of(message));
    report["fencing"] = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "Fencing-Token");
    self.reports.push_back(report);
    answer(message, SOUP_STATUS_OK, json::object());
}

void serve_call(site& self, SoupServerMessage* message)
{
    auto const path = path_of(message);
    expire_leases(self);
    if (path == "/-/kv-key")
    {
        read_key(self, message);
    }
    else if (path == "/-/kv-range")
    {
        read_range(self, message);
    }
    else if (path == "/-/kv-txn")
    {
        run_transaction(self, message);
    }
    else if (path == "/-/kv-lease")
    {
        grant(self, message);
    }
    else if (path.starts_with("/-/kv-keep/"))
    {
        renew(self, message, last_number(path));
    }
    else if (path.starts_with("/-/kv-lease-end/"))
    {
        end_lease(self, last_number(path));
        answer(message, SOUP_STATUS_OK, json::object());
    }
    else if (path == "/usage")
    {
        take_report(self, message);
    }
    else
    {
        answer(message, SOUP_STATUS_NOT_FOUND, json::object());
    }
}

/// Does what is asked and closes the connection instead of answering.
void lose_answer(site& self, SoupServerMessage* message)
{
    serve_call(self, message);
    soup_server_message_pause(message);
    close_connection(message);
}

// Below the longest time that a gateway waits, above the time between its reads.
constexpr guint late_by_ms = 820;

/// Sends the answer later.
void hold_back(SoupServerMessage* message)
{
    soup_server_message_pause(message);
    g_timeout_add_full(
        G_PRIORITY_DEFAULT, late_by_ms,
        [](gpointer held) -> gboolean
        {
            soup_server_message_unpause(static_cast<SoupServerMessage*>(held));
            return G_SOURCE_REMOVE;
        },
        g_object_ref(message), g_object_unref);
}

} // namespace

void serve_store(site& self, SoupServerMessage* message, store_mode mode)
{
    if (path_of(message).starts_with("/standin/"))
    {
        control(self, message);
        return;
    }
    ++self.calls;
    switch (mode)
    {
    case store_mode::refuses:
        answer(message, SOUP_STATUS_SERVICE_UNAVAILABLE, json::object());
        break;
    case store_mode::loses_answers:
        lose_answer(self, message);
        break;
    case store_mode::loses_commits:
        if (path_of(message) == "/-/kv-txn")
        {
            lose_answer(self, message);
            break;
        }
        serve_call(self, message);
        break;
    case store_mode::answers_late:
        serve_call(self, message);
        if (path_of(message) == "/-/kv-txn")
        {
            hold_back(message);
        }
        break;
    case store_mode::serves:
        serve_call(self, message);
        break;
    }
}

} // namespace gooseberrywood::test
