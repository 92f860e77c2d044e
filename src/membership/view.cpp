#include "membership/view.hpp"

#include <algorithm>

namespace gooseberrywood::membership
{

namespace
{

host_state& place(view& of, std::string_view host)
{
    auto const found = of.hosts.find(host);
    return found != of.hosts.end() ? found->second : of.hosts[std::string(host)];
}

} // namespace

void set_listed(view& of, std::span<listed_host const> listed)
{
    std::set<std::string_view> present;
    for (auto const& row : listed)
    {
        present.insert(row.host);
        auto& known = place(of, row.host);
        known.listed = true;
        known.leaving = known.leaving || row.leaving;
        if (!known.connected)
        {
            known.domain = row.domain;
        }
    }
    for (auto& [host, known] : of.hosts)
    {
        // A connected host that was never listed has just started: the list lags.
        if (known.listed && !present.contains(host))
        {
            known.leaving = true;
            known.listed = false;
        }
    }
    std::erase_if(of.hosts, [&](auto const& at)
                  { return !at.second.connected && !present.contains(at.first); });
}

void set_domains_out(view& of, std::span<std::string const> domains, base::mono_time now)
{
    decltype(of.domains_out) const out(domains.begin(), domains.end());
    for (auto& [host, known] : of.hosts)
    {
        if (of.domains_out.contains(known.domain) && !out.contains(known.domain))
        {
            known.fresh_since = now;
        }
    }
    of.domains_out = out;
}

void connected(view& of, std::string_view host, std::string_view domain, std::uint64_t incarnation,
               base::mono_time now)
{
    auto& known = place(of, host);
    known.domain = domain;
    known.connected = true;
    known.heard_until = now + silence_limit;
    if (known.incarnation != incarnation)
    {
        known.incarnation = incarnation;
        known.leaving = false;
        known.refusing = false;
        known.fresh_since = now;
    }
}

void disconnected(view& of, std::string_view host)
{
    auto const found = of.hosts.find(host);
    if (found == of.hosts.end())
    {
        return;
    }
    found->second.connected = false;
    if (!found->second.listed)
    {
        of.hosts.erase(found);
    }
}

void heard(view& of, std::string_view host, base::mono_time now)
{
    auto const found = of.hosts.find(host);
    if (found != of.hosts.end() && found->second.connected)
    {
        found->second.heard_until = now + silence_limit;
    }
}

void set_refusing(view& of, std::string_view host, bool refusing)
{
    auto const found = of.hosts.find(host);
    if (found != of.hosts.end())
    {
        found->second.refusing = refusing;
    }
}

work_state state_of(view const& of, std::string_view host, base::mono_time now)
{
    auto const found = of.hosts.find(host);
    if (found == of.hosts.end())
    {
        return work_state::unknown;
    }
    auto const& known = found->second;
    if (known.leaving)
    {
        return work_state::leaving;
    }
    if (of.domains_out.contains(known.domain))
    {
        return work_state::domain_out;
    }
    if (!known.connected)
    {
        return work_state::not_connected;
    }
    if (now >= known.heard_until)
    {
        return work_state::silent;
    }
    return known.refusing ? work_state::refusing : work_state::accepting;
}

std::vector<std::string> accepting(view const& of, base::mono_time now)
{
    std::vector<std::string> found;
    for (auto const& [host, known] : of.hosts)
    {
        if (state_of(of, host, now) == work_state::accepting)
        {
            found.push_back(host);
        }
    }
    return found;
}

base::mono_time fresh_since(view const& of, std::string_view host)
{
    auto const found = of.hosts.find(host);
    return found == of.hosts.end() ? base::mono_time::min() : found->second.fresh_since;
}

bool must_tell_leaving(view const& of, std::string_view host)
{
    auto const found = of.hosts.find(host);
    return found != of.hosts.end() && found->second.leaving;
}

} // namespace gooseberrywood::membership
