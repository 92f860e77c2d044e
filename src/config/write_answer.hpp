#ifndef GOOSEBERRYWOOD_CONFIG_WRITE_ANSWER_HPP
#define GOOSEBERRYWOOD_CONFIG_WRITE_ANSWER_HPP

#include <cstdint>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief What is known of a CAS.
enum class write_answer : std::uint8_t
{
    written,
    /// The store compared and refused.
    refused,
    /// No answer; it may have been written.
    lost,
};

} // namespace gooseberrywood::config

#endif
