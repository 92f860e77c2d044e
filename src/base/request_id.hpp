#ifndef GOOSEBERRYWOOD_BASE_REQUEST_ID_HPP
#define GOOSEBERRYWOOD_BASE_REQUEST_ID_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief Identifies one request in all processes. 128 bits, so that random ids don't collide.
struct request_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(request_id const&, request_id const&) = default;
};

/// \ingroup base
/// \brief A random id from the operating system's generator.
[[nodiscard]] request_id random_request_id();

/// \ingroup base
/// \brief The id of a request that carries an Idempotency-Key.
/// \param team the team of the caller, so that teams can't meet each other's ids.
/// \param idempotency_key the caller's value.
/// \returns the same id for the same pair in every process.
[[nodiscard]] request_id derived_request_id(std::string_view team,
                                            std::string_view idempotency_key);

/// \ingroup base
/// \brief 32 hexadecimal digits.
[[nodiscard]] std::string to_string(request_id const& id);

} // namespace gooseberrywood::base

template <>
struct std::hash<gooseberrywood::base::request_id>
{
    std::size_t operator()(gooseberrywood::base::request_id const& id) const noexcept
    {
        // The bits are uniform already, whether random or derived by a hash.
        return static_cast<std::size_t>(id.high ^ id.low);
    }
};

#endif
