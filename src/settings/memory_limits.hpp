#ifndef GOOSEBERRYWOOD_SETTINGS_MEMORY_LIMITS_HPP
#define GOOSEBERRYWOOD_SETTINGS_MEMORY_LIMITS_HPP

#include "base/toml_reader.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gooseberrywood::settings
{

/// \ingroup settings
/// \brief Limits of what a process holds of the responses of upstreams.
struct memory_limits
{
    /// Memory that the process may use. A quarter of it may hold responses, and half of that a
    /// single one.
    std::size_t memory_bytes = std::size_t{256} * 1024 * 1024;
    /// Maximum of one response, with its heads, framing and trailers.
    std::size_t max_response_bytes = std::size_t{32} * 1024 * 1024;
};

/// \ingroup settings
/// \brief Reads the keys `memory_mb` and `max_response_mb`.
void read_memory_limits(base::toml_reader& reader, memory_limits& limits);

/// \ingroup settings
/// \brief Reads an integer as a number of units.
/// \param unit size of a unit in bytes.
void read_size(base::toml_reader& reader, std::string_view key, std::int64_t least,
               std::int64_t most, std::size_t unit, std::size_t& bytes);

} // namespace gooseberrywood::settings

#endif
