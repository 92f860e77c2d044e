#ifndef GOOSEBERRYWOOD_ADMISSION_ATTEMPT_KEY_HPP
#define GOOSEBERRYWOOD_ADMISSION_ATTEMPT_KEY_HPP

#include "base/request_id.hpp"

#include <cstdint>
#include <tuple>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief One attempt of one request.
struct attempt_key
{
    base::request_id id;
    std::uint32_t attempt = 0;

    friend bool operator<(attempt_key const& left, attempt_key const& right)
    {
        return std::tie(left.id, left.attempt) < std::tie(right.id, right.attempt);
    }
};

} // namespace gooseberrywood::admission

#endif
