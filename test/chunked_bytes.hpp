#ifndef GOOSEBERRYWOOD_TEST_CHUNKED_BYTES_HPP
#define GOOSEBERRYWOOD_TEST_CHUNKED_BYTES_HPP

#include <rapidcheck.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::test
{

/// A body and one of the ways to send it in chunks.
struct chunked_bytes
{
    std::string body;
    std::string sent;
};

/// Makes a random chunked body that keeps to the grammar: sizes with zeros and letters of both
/// kinds, extensions, quoted values, trailers.
[[nodiscard]] rc::Gen<chunked_bytes> arbitrary_chunked();

/// Changes a text at one place: replaces, removes, repeats or inserts a byte, or cuts the rest.
[[nodiscard]] rc::Gen<std::string> damaged(std::string text);

/// Makes short texts of the bytes that matter within chunks.
[[nodiscard]] rc::Gen<std::string> arbitrary_chunk_like();

/// Part of a text that is a whole chunked body.
struct parsed_chunks
{
    std::string body;
    std::size_t bytes = 0;
};

/// Reads a chunked body by the grammar of RFC 9112, section 7.1, from a text that is there as a
/// whole.
/// \returns nothing if the text does not begin with a whole chunked body.
[[nodiscard]] std::optional<parsed_chunks> parse_chunked(std::string_view text);

} // namespace gooseberrywood::test

#endif
