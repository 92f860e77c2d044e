#include "settings/memory_limits.hpp"

namespace gooseberrywood::settings
{

namespace
{

constexpr std::size_t megabyte = std::size_t{1024} * 1024;

} // namespace

void read_size(base::toml_reader& reader, std::string_view key, std::int64_t least,
               std::int64_t most, std::size_t unit, std::size_t& bytes)
{
    auto count = static_cast<std::int64_t>(bytes / unit);
    base::read_integer(reader, key, least, most, count);
    bytes = static_cast<std::size_t>(count) * unit;
}

void read_memory_limits(base::toml_reader& reader, memory_limits& limits)
{
    constexpr std::int64_t min_memory_mb = 16;
    constexpr std::int64_t max_memory_mb = 1024 * 1024;
    constexpr std::int64_t max_response_mb = 1024;
    read_size(reader, "memory_mb", min_memory_mb, max_memory_mb, megabyte, limits.memory_bytes);
    read_size(reader, "max_response_mb", 1, max_response_mb, megabyte, limits.max_response_bytes);
}

} // namespace gooseberrywood::settings
