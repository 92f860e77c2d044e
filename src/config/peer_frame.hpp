#ifndef GOOSEBERRYWOOD_CONFIG_PEER_FRAME_HPP
#define GOOSEBERRYWOOD_CONFIG_PEER_FRAME_HPP

#include "base/time.hpp"
#include "config/named_change.hpp"
#include "config/standing.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief What a received frame says about the configuration.
struct peer_frame
{
    std::string host;
    std::string domain;
    /// The version in effect at the sender.
    std::uint64_t version = 0;
    /// `record_hash` of the record in effect at the sender; 0 if none.
    std::uint64_t hash = 0;
    /// The announced changes that the sender remembers.
    std::vector<named_change> announced;
    standing sender = standing::none;
    /// A time on the receiver's clock before which the frame was certainly not sent; see
    /// `wire::send_times`. The time of arrival would be wrong: a frame may have been delayed.
    base::mono_time sent_after{};
};

} // namespace gooseberrywood::config

#endif
