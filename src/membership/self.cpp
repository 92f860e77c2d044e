#include "membership/self.hpp"

#include <algorithm>

namespace gooseberrywood::membership
{

void set_leaving(self& of)
{
    of.leaving = true;
}

bool set_domains_out(self& of, std::span<std::string const> domains, base::mono_time now)
{
    bool const out = std::find(domains.begin(), domains.end(), of.domain) != domains.end();
    bool const returned = of.domain_out && !out;
    of.domain_out = out;
    if (returned)
    {
        of.fresh_since = now;
    }
    return returned;
}

work_state state_of(self const& of)
{
    if (of.leaving)
    {
        return work_state::leaving;
    }
    return of.domain_out ? work_state::domain_out : work_state::accepting;
}

} // namespace gooseberrywood::membership
