#ifndef GOOSEBERRYWOOD_CONFIG_HISTORY_HPP
#define GOOSEBERRYWOOD_CONFIG_HISTORY_HPP

#include "base/result.hpp"
#include "config/delta.hpp"
#include "config/record.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief Limit of the encoded deltas that a process keeps for its peers. At 500 bytes each these
/// are the last 500 versions, some 20 minutes of changes at 32,000 a day.
inline constexpr std::size_t max_history_bytes = 256'000;

/// \ingroup config
/// \brief The last changes of the configuration in effect, from which peers that are behind are
/// answered.
struct history
{
    struct step
    {
        std::uint64_t from_version = 0;
        std::uint64_t to_version = 0;
        std::string content;
    };
    /// Each step starts with the version that the one before leads to.
    std::deque<step> steps;
    std::size_t bytes = 0;
};

/// \brief Notes a change; call it whenever `offer` has replaced a record.
void changed(history& of, record const& from, record const& to);

/// \brief The contents of the `config_content` frames that answer a `config_request`.
/// \param above_version the version that the peer has; 0 asks for the whole record.
/// \returns deltas in order, or the whole record if they don't reach back that far or are larger;
/// nothing if the peer is not behind; `bundle_invalid` if the record can't be encoded.
[[nodiscard]] base::result<std::vector<std::string>>
answer(history const& of, record const& current, std::uint64_t above_version);

} // namespace gooseberrywood::config

#endif
