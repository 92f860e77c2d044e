#ifndef GOOSEBERRYWOOD_CONFIG_HELD_CHANGE_HPP
#define GOOSEBERRYWOOD_CONFIG_HELD_CHANGE_HPP

#include "config/announcement.hpp"
#include "config/record.hpp"

#include <optional>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief An announced change at an entry, and the record that it leads to once that was made.
struct held_change
{
    announcement announced;
    std::optional<record> whole;
};

} // namespace gooseberrywood::config

#endif
