#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_CROWD_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_CROWD_HPP

#include "process/support/kept_connection.hpp"
#include "process/support/site_service.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::test
{

inline constexpr std::size_t mebibyte = 1024 * 1024;

/// Connections of clients that send without reading and stay open.
struct crowd
{
    std::vector<std::unique_ptr<kept_connection>> members;
};

/// Opens connections and sends the same bytes on each, in turns. A member whose connection was
/// closed, or which the gateway does not read from for a second, sends no more.
[[nodiscard]] crowd make_crowd(std::uint16_t port, std::size_t size, std::string_view bytes);

/// Head of a lookup.
/// \param headers further headers, each with its line end.
[[nodiscard]] std::string lookup_head(std::string_view id, std::string_view headers = "");

/// Head of a lookup with a chunked body.
[[nodiscard]] std::string chunked_head(std::string_view id);

/// A body of this many bytes in chunks of one size, without the chunk that ends it.
[[nodiscard]] std::string unfinished_chunks(std::size_t bytes, std::size_t chunk_bytes);

/// Stand-ins and a gateway with little room.
struct small_gateway
{
    /// \param descriptors what the gateway may open.
    explicit small_gateway(std::size_t descriptors);

    [[nodiscard]] std::uint16_t port() const;

    std::size_t max_descriptors = 0;
    std::unique_ptr<site_service> service;
    /// Memory of the gateway before any request.
    std::size_t bytes_before = 0;
};

/// Fails unless the gateway lives, has stayed within its memory, those bytes included that wait
/// unread in its sockets, and has fewer descriptors than allowed.
void check_bounds(small_gateway const& gateway);

/// As above; afterwards an ordinary request must be answered, though not at the first attempt.
void check_bounds_and_service(small_gateway const& gateway);

/// Number of open descriptors of a process.
[[nodiscard]] std::size_t open_descriptors(process const& of);

/// Waits until a process has read what was sent to it: its memory and the number of its descriptors
/// stay the same for a second.
void wait_settled(process const& of);

/// Whether a process has neither ended nor become a zombie.
[[nodiscard]] bool is_alive(process const& which);

} // namespace gooseberrywood::test

#endif
