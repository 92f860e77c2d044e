#ifndef GOOSEBERRYWOOD_PROVIDER_CALL_KIND_HPP
#define GOOSEBERRYWOOD_PROVIDER_CALL_KIND_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief Kinds of calls to the platform. Calls are counted by kind.
enum class call_kind : std::uint8_t
{
    store_read,
    store_compare_and_swap,
    store_watch,
    lease_acquire,
    lease_renew,
    lease_release,
    lease_read,
    hosts,
    order,
    usage,
    weight_versions,
    weight_read,
};

inline constexpr std::size_t call_kind_count = 12;

/// \ingroup provider
/// \brief Name of a call kind in metrics and in the platform stand-in of the tests.
[[nodiscard]] std::string_view name_of(call_kind kind);

/// \ingroup provider
/// \brief Number of calls sent, by kind. A watch counts as one call, however long it
/// waits.
using call_counts = std::array<std::uint64_t, call_kind_count>;

} // namespace gooseberrywood::provider

#endif
