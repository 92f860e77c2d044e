#include "gateway/job_store.hpp"

#include "platform/batch_calls.hpp"
#include "rollout/result_chunk.hpp"
#include "rollout/store_keys.hpp"
#include "store/list_all.hpp"

#include <iterator>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;
using items = std::vector<store::item>;

base::result<stored_job> decode_stored_job(std::string const& id, items const& read)
{
    stored_job stored;
    std::string spec;
    for (auto const& item : read)
    {
        if (item.key == rollout::progress_key(id))
        {
            // Unreadable progress is ignored: the samples start again, which costs only time.
            stored.progress = rollout::decode_progress(item.value).value_or(stored.progress);
        }
        else if (item.key.starts_with(rollout::result_prefix(id)))
        {
            auto results = rollout::decode_results(item.value);
            if (!results)
            {
                return base::fail(result_code::internal, "cannot decode stored results");
            }
            std::move(results->begin(), results->end(), std::back_inserter(stored.results));
        }
        else if (item.key.starts_with(rollout::spec_prefix(id)))
        {
            spec += item.value;
        }
    }
    auto decoded = platform::decode_batch_job(spec);
    if (!decoded)
    {
        return tl::unexpected(decoded.error());
    }
    stored.spec = std::move(*decoded);
    return stored;
}

} // namespace

void load_job(gateway& self, std::string const& id,
              std::function<void(base::result<stored_job>)> then)
{
    store::list_all(self.store, rollout::job_prefix(id), "", base::mono_now() + store_call_timeout,
                    [id, then = std::move(then)](base::result<items> const& read)
                    {
                        if (!read)
                        {
                            then(tl::unexpected(read.error()));
                            return;
                        }
                        then(decode_stored_job(id, *read));
                    });
}

} // namespace gooseberrywood::gateway
