#ifndef GOOSEBERRYWOOD_BASE_ERROR_HPP
#define GOOSEBERRYWOOD_BASE_ERROR_HPP

#include "base/result_code.hpp"

#include <string>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief A numbered result code and a message for people.
struct error
{
    result_code code = result_code::internal;
    std::string message;

    friend bool operator==(error const&, error const&) = default;
};

} // namespace gooseberrywood::base

#endif
