#ifndef GOOSEBERRYWOOD_CONFIG_EDIT_HPP
#define GOOSEBERRYWOOD_CONFIG_EDIT_HPP

#include <cstdint>
#include <string>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief One step of a delta: a part of the old text, then new text. Either may be empty.
struct edit
{
    std::uint64_t copy_at = 0;
    std::uint64_t copy_bytes = 0;
    std::string insert;

    friend bool operator==(edit const&, edit const&) = default;
};

} // namespace gooseberrywood::config

#endif
