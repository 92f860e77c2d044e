#ifndef GOOSEBERRYWOOD_ADMISSION_CLAIMS_HPP
#define GOOSEBERRYWOOD_ADMISSION_CLAIMS_HPP

#include "admission/detail/expiry_wheel.hpp"
#include "base/request_id.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Result of a claim.
enum class claim_status : std::uint8_t
{
    /// No other claim of this id is within its horizon.
    is_new,
    /// The same claimer has claimed it before; the first answer may have been lost.
    same_token,
    /// Another claimer holds it.
    taken,
    /// Not recorded, since the table is full or the deadline has passed. Nothing is known about the
    /// id.
    refused,
};

/// \ingroup admission
/// \brief Record of one claim.
struct claim_record
{
    std::uint64_t token = 0;
    base::mono_time horizon{};
};

/// \ingroup admission
/// \brief Claims of request ids, each for one execution. A full table refuses new claims rather
/// than evict an earlier one.
struct claims
{
    /// Maximum number of claims, about 80 bytes each.
    std::size_t max_claims = 100'000;
    std::unordered_map<base::request_id, claim_record> records;
    detail::expiry_wheel<base::request_id> wheel;
};

/// \brief Claims a request id; it is kept for 60 s beyond the deadline.
/// \param token identifies the claimer.
[[nodiscard]] claim_status claim(claims& table, base::request_id const& id, std::uint64_t token,
                                 base::mono_time deadline, base::mono_time now);

/// \brief Removes claims past their horizon, in amortised O(1).
void expire(claims& table, base::mono_time now);

} // namespace gooseberrywood::admission

#endif
