#include "provider/call_kind.hpp"

namespace gooseberrywood::provider
{

std::string_view name_of(call_kind kind)
{
    static constexpr std::array<std::string_view, call_kind_count> names = {
        "store_read",      "store_compare_and_swap",
        "store_watch",     "lease_acquire",
        "lease_renew",     "lease_release",
        "lease_read",      "hosts",
        "order",           "usage",
        "weight_versions", "weight_read"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace gooseberrywood::provider
