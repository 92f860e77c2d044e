#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_CROWD_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_CROWD_HPP

#include "process/support/kept_connection.hpp"
#include "process/support/process.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::test
{

/// Connections of clients that send without reading and stay open.
struct crowd
{
    std::vector<std::unique_ptr<kept_connection>> members;
};

/// Opens connections and sends the same bytes on each, in turns. A member whose connection was
/// closed, or which the gateway does not read from for a second, sends no more.
[[nodiscard]] crowd make_crowd(std::uint16_t port, std::size_t size, std::string_view bytes);

/// Head of a lookup with a chunked body.
[[nodiscard]] std::string chunked_head(std::string_view id);

/// A body of this many bytes in chunks of one size, without the chunk that ends it.
[[nodiscard]] std::string unfinished_chunks(std::size_t bytes, std::size_t chunk_bytes);

/// Largest resident size of a process so far, in bytes.
[[nodiscard]] std::size_t peak_resident_bytes(process const& of);

/// Number of open descriptors of a process.
[[nodiscard]] std::size_t open_descriptors(process const& of);

/// Waits until a process has read what was sent to it: its resident size and the number of its
/// descriptors stay the same for a second.
void wait_settled(process const& of);

/// Whether a process has neither ended nor become a zombie.
[[nodiscard]] bool is_alive(process const& which);

} // namespace gooseberrywood::test

#endif
