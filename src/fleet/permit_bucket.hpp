#ifndef GOOSEBERRYWOOD_FLEET_PERMIT_BUCKET_HPP
#define GOOSEBERRYWOOD_FLEET_PERMIT_BUCKET_HPP

#include "base/time.hpp"

#include <cstdint>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief How long a permit is valid after it was asked for. Permits that are granted over a longer
/// time and used together must not exceed the limit.
inline constexpr base::duration permit_validity = std::chrono::milliseconds(250);

/// \ingroup fleet
/// \brief What a process that grants permits knows about others that may do so.
enum class issuer_certainty : std::uint8_t
{
    /// No other process grants permits of the upstream.
    only_one,
    /// Another process may grant permits as well, because its view of the members differs.
    perhaps_two,
};

/// \ingroup fleet
/// \brief Token bucket from which one process grants the permits of one upstream to all processes.
///
/// A process that is certain to be the only one that grants permits grants the whole limit. One
/// that is not grants less, so that two such processes together stay below one and a half times the
/// limit.
struct permit_bucket
{
    /// Smallest limit that a process has named recently, in requests per second.
    double requests_per_s = 0;
    /// A larger limit is adopted only after this time.
    base::mono_time raise_at{};
    issuer_certainty certainty = issuer_certainty::perhaps_two;
    double available = 0;
    base::mono_time refilled_at{};
};

/// \ingroup fleet
/// \brief Makes a bucket, which is empty at first: an earlier one may have granted permits a moment
/// ago.
/// \param requests_per_s limit of the upstream.
[[nodiscard]] permit_bucket make_permit_bucket(double requests_per_s, base::mono_time now);

/// \ingroup fleet
/// \brief Takes one permit.
/// \param requests_per_s limit that the asking process knows. Processes may know different ones for
/// a while; the smallest one applies.
/// \returns whether the permit is granted.
[[nodiscard]] bool take_permit(permit_bucket& bucket, double requests_per_s,
                               issuer_certainty certainty, base::mono_time now);

/// \ingroup fleet
/// \brief Time at which the bucket will have a permit.
[[nodiscard]] base::mono_time next_permit_at(permit_bucket const& bucket, base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
