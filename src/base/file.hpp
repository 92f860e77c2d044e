#ifndef GOOSEBERRYWOOD_BASE_FILE_HPP
#define GOOSEBERRYWOOD_BASE_FILE_HPP

#include "base/result.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief Reads a whole file.
/// \returns `not_found` when there is no such file, `io_error` when it can't be read.
[[nodiscard]] result<std::string> read_file(std::string const& path);

/// \ingroup base
/// \brief Writes a file so that readers and a crash meet the old or the new content, never a part.
/// \returns nothing, or `io_error`; the old content is then still there.
[[nodiscard]] std::optional<error> replace_file(std::string const& path, std::string_view content);

/// \ingroup base
/// \brief Writes a new file that only its owner can read.
/// \returns nothing, or `io_error`, also when the file exists already.
[[nodiscard]] std::optional<error> create_private_file(std::string const& path,
                                                       std::string_view content);

} // namespace gooseberrywood::base

#endif
