#ifndef GOOSEBERRYWOOD_PROVIDER_CALL_KIND_HPP
#define GOOSEBERRYWOOD_PROVIDER_CALL_KIND_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief Kinds of calls to the platform, as they are counted.
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

inline constexpr std::size_t call_kinds = 12;

/// \ingroup provider
/// \brief Name of a kind in metrics and in the stand-in.
[[nodiscard]] std::string_view name_of(call_kind kind);

/// \ingroup provider
/// \brief Calls that were sent, by kind. A watch counts once, however long it waits.
using call_counts = std::array<std::uint64_t, call_kinds>;

} // namespace gooseberrywood::provider

#endif
