#ifndef GOOSEBERRYWOOD_CONFIG_INTENT_HPP
#define GOOSEBERRYWOOD_CONFIG_INTENT_HPP

#include "config/named_change.hpp"

#include <string>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief What an operator is about to write, or has given up for certain.
struct intent
{
    named_change what;
    /// Names the operator's command. Only it may withdraw the announcement.
    std::string announcer;
    bool withdrawn = false;
    /// The encoded delta from the record that is replaced. An entry that can't learn whether the
    /// change was written obeys both records. Empty in acknowledgements.
    std::string content;
};

} // namespace gooseberrywood::config

#endif
