#ifndef GOOSEBERRYWOOD_GATEWAY_STREAM_ORIGINS_HPP
#define GOOSEBERRYWOOD_GATEWAY_STREAM_ORIGINS_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "gateway/entry_lease.hpp"
#include "rollout/text_origin.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace gooseberrywood::gateway
{

struct gateway;

/// \ingroup gateway
/// \brief Origin of a stream that was sent to a caller.
struct known_origin
{
    rollout::text_origin origin;
    base::mono_time forget_at{};
};

/// \ingroup gateway
/// \brief What generated the streams that callers may take up again, at this gateway or at another
/// one. Upstreams don't check whether they may continue a stream, so a gateway continues none
/// without proof of its origin.
///
/// The proof is an entry in the store. It is written before the first event reaches the caller, so
/// that it outlives this process; if the store does not confirm it in time, the stream is sent all
/// the same, and other gateways refuse to continue it.
struct stream_origins
{
    /// Origins of streams that this process has sent, by the key in the store.
    std::map<std::string, known_origin> known;
    /// Lease that removes the entries.
    entry_lease lease;
};

/// \ingroup gateway
/// \brief Saves what generated a stream.
/// \param attempt id of the caller's attempt that began the stream.
/// \param then called once, when the entry is stored or the attempt to store it has failed.
void save_stream_origin(gateway& self, std::string const& attempt,
                        rollout::text_origin const& origin, std::function<void()> then);

/// \ingroup gateway
/// \brief Looks up what generated a stream.
/// \param then receives nothing when no entry exists, or an error when the store can't be read.
void find_stream_origin(
    gateway& self, std::string const& attempt, base::mono_time deadline,
    std::function<void(base::result<std::optional<rollout::text_origin>>)> then);

} // namespace gooseberrywood::gateway

#endif
