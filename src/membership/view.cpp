#include "membership/view.hpp"

#include <algorithm>

namespace gooseberrywood::membership
{

namespace
{

host_state& find_or_insert(view& members, std::string_view host)
{
    auto const found = members.hosts.find(host);
    return found != members.hosts.end() ? found->second : members.hosts[std::string(host)];
}

} // namespace

void apply_host_list(view& members, std::span<listed_host const> listed)
{
    std::set<std::string_view> present;
    for (auto const& item : listed)
    {
        present.insert(item.host);
        auto& known = find_or_insert(members, item.host);
        known.listed = true;
        known.leaving = known.leaving || item.leaving;
        if (!known.connected)
        {
            known.domain = item.domain;
        }
    }
    for (auto& [host, known] : members.hosts)
    {
        // A connected host that was never listed is not leaving: it has just started, and the
        // list lags.
        if (known.listed && !present.contains(host))
        {
            known.leaving = true;
            known.listed = false;
        }
    }
    std::erase_if(members.hosts, [&](auto const& item)
                  { return !item.second.connected && !present.contains(item.first); });
}

void set_domains_out(view& members, std::span<std::string const> domains, base::mono_time now)
{
    decltype(members.domains_out) const new_domains_out(domains.begin(), domains.end());
    for (auto& [host, known] : members.hosts)
    {
        if (members.domains_out.contains(known.domain) && !new_domains_out.contains(known.domain))
        {
            known.warm_up_start = now;
        }
    }
    members.domains_out = new_domains_out;
}

void on_connected(view& members, std::string_view host, std::string_view domain,
                  std::uint64_t incarnation, base::mono_time now)
{
    auto& known = find_or_insert(members, host);
    known.domain = domain;
    known.connected = true;
    known.silent_from = now + silence_timeout;
    if (known.incarnation != incarnation)
    {
        known.incarnation = incarnation;
        known.leaving = false;
        known.refusing = false;
        known.warm_up_start = now;
    }
}

void on_disconnected(view& members, std::string_view host)
{
    auto const found = members.hosts.find(host);
    if (found == members.hosts.end())
    {
        return;
    }
    found->second.connected = false;
    if (!found->second.listed)
    {
        members.hosts.erase(found);
    }
}

void on_frame(view& members, std::string_view host, base::mono_time now)
{
    auto const found = members.hosts.find(host);
    if (found != members.hosts.end() && found->second.connected)
    {
        found->second.silent_from = now + silence_timeout;
    }
}

void set_refusing(view& members, std::string_view host, bool refusing)
{
    auto const found = members.hosts.find(host);
    if (found != members.hosts.end())
    {
        found->second.refusing = refusing;
    }
}

work_state state_of(view const& members, std::string_view host, base::mono_time now)
{
    auto const found = members.hosts.find(host);
    if (found == members.hosts.end())
    {
        return work_state::unknown;
    }
    auto const& known = found->second;
    if (known.leaving)
    {
        return work_state::leaving;
    }
    if (members.domains_out.contains(known.domain))
    {
        return work_state::domain_out;
    }
    if (!known.connected)
    {
        return work_state::not_connected;
    }
    if (now >= known.silent_from)
    {
        return work_state::silent;
    }
    return known.refusing ? work_state::refusing : work_state::accepting;
}

std::vector<std::string> accepting_hosts(view const& members, base::mono_time now)
{
    std::vector<std::string> hosts;
    for (auto const& [host, known] : members.hosts)
    {
        if (state_of(members, host, now) == work_state::accepting)
        {
            hosts.push_back(host);
        }
    }
    return hosts;
}

base::mono_time warm_up_start(view const& members, std::string_view host)
{
    auto const found = members.hosts.find(host);
    return found == members.hosts.end() ? base::mono_time::min() : found->second.warm_up_start;
}

bool must_announce_leaving(view const& members, std::string_view host)
{
    auto const found = members.hosts.find(host);
    return found != members.hosts.end() && found->second.leaving;
}

} // namespace gooseberrywood::membership
