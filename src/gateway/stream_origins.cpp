#include "gateway/stream_origins.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "gateway/gateway.hpp"
#include "rollout/store_keys.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

// Callers take a stream up within their own deadline, which is seconds.
constexpr base::duration min_lifetime = std::chrono::seconds(60);
constexpr entry_lifetime stored_lifetime{min_lifetime, std::chrono::seconds(150)};
// The caller waits for its answer meanwhile.
constexpr base::duration save_timeout = std::chrono::milliseconds(250);

std::string key_of(std::string const& attempt)
{
    return rollout::stream_origin_key(base::sha256_hex(attempt));
}

void remember(stream_origins& origins, std::string const& key, rollout::text_origin const& origin,
              base::mono_time now)
{
    std::erase_if(origins.known, [&](auto const& entry) { return now >= entry.second.forget_at; });
    origins.known[key] = {origin, now + min_lifetime};
}

void log_not_saved(std::string const& attempt, std::string_view reason)
{
    base::log_line(base::log_level::warning, "stream_origin_not_saved",
                   {{"request", attempt}, {"reason", reason}});
}

} // namespace

void save_stream_origin(gateway& self, std::string const& attempt,
                        rollout::text_origin const& origin, std::function<void()> then)
{
    auto const deadline = base::mono_now() + save_timeout;
    auto const key = key_of(attempt);
    remember(self.origins, key, origin, base::mono_now());
    with_entry_lease(
        self, self.origins.lease, stored_lifetime, deadline,
        [&self, key, attempt, origin, deadline, then = std::move(then)](std::uint64_t lease)
        {
            if (lease == 0)
            {
                log_not_saved(attempt, "the store granted no lease");
                then();
                return;
            }
            store::transaction entry;
            entry.writes.push_back({key, rollout::encode(origin), lease});
            self.store.commit_transaction(
                entry, deadline,
                [attempt, then](base::result<store::commit> const& outcome)
                {
                    if (!outcome)
                    {
                        log_not_saved(attempt, outcome.error().message);
                    }
                    then();
                });
        });
}

void find_stream_origin(gateway& self, std::string const& attempt, base::mono_time deadline,
                        std::function<void(base::result<std::optional<rollout::text_origin>>)> then)
{
    auto const key = key_of(attempt);
    if (auto const known = self.origins.known.find(key); known != self.origins.known.end())
    {
        then(std::optional(known->second.origin));
        return;
    }
    self.store.read(key, std::min(deadline, base::mono_now() + store_call_timeout),
                    [then = std::move(then)](base::result<std::optional<store::item>> const& read)
                    {
                        if (!read)
                        {
                            then(tl::unexpected(read.error()));
                            return;
                        }
                        then(*read ? rollout::decode_origin((*read)->value) : std::nullopt);
                    });
}

} // namespace gooseberrywood::gateway
