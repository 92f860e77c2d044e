#include "standin/platform/platform.hpp"

namespace gooseberrywood::test
{

namespace
{

using nlohmann::json;

/// Replaces all rules. The first one that fits a call applies.
void set_faults(platform_standin& self, json const& rules)
{
    self.faults.clear();
    for (auto const& rule : rules)
    {
        self.faults.push_back({rule.value("kind", "*"), rule.at("mode").get<std::string>(),
                               base::duration(rule.value("delay_us", std::int64_t{0})),
                               rule.value("count", std::int64_t{-1})});
    }
}

/// The list shows the change after the lag.
void set_hosts(platform_standin& self, json hosts)
{
    self.host_updates.push_back(base::at(base::mono_now() + self.host_lag,
                                         [&self, hosts = std::move(hosts)]
                                         { self.hosts = hosts; }));
}

json counts(provider::call_counts const& calls)
{
    json shown;
    for (std::size_t kind = 0; kind < calls.size(); ++kind)
    {
        shown[name_of(static_cast<provider::call_kind>(kind))] = calls.at(kind);
    }
    return shown;
}

json change(platform_standin& self, std::string const& path, json const& body)
{
    if (path == "/standin/faults")
    {
        set_faults(self, body);
    }
    else if (path == "/standin/hosts")
    {
        set_hosts(self, body);
    }
    else if (path == "/standin/host_lag")
    {
        self.host_lag = base::duration(body.at("lag_us").get<std::int64_t>());
    }
    else if (path == "/standin/weights")
    {
        auto& versions = self.weights[body.at("model").get<std::string>()];
        versions.push_back({{"version", body.at("version")}, {"bytes", body.at("bytes")}});
    }
    else
    {
        return nullptr;
    }
    return json::object();
}

json show(platform_standin const& self, std::string const& path)
{
    if (path == "/standin/calls")
    {
        return counts(self.calls);
    }
    if (path == "/standin/orders")
    {
        return self.orders;
    }
    if (path == "/standin/usage")
    {
        return self.usage;
    }
    if (path == "/standin/watches")
    {
        return {{"waiting", self.watches.size()}};
    }
    return nullptr;
}

} // namespace

void control(platform_standin& self, SoupServerMessage* message, std::string const& path)
{
    bool const reads = std::string_view(soup_server_message_get_method(message)) == "GET";
    auto const shown = reads ? show(self, path) : change(self, path, json::parse(body_of(message)));
    answer(message, shown.is_null() ? SOUP_STATUS_NOT_FOUND : SOUP_STATUS_OK, shown);
}

} // namespace gooseberrywood::test
