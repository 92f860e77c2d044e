#ifndef GOOSEBERRYWOOD_GATEWAY_SHARED_VIEW_HPP
#define GOOSEBERRYWOOD_GATEWAY_SHARED_VIEW_HPP

#include "base/time.hpp"
#include "fleet/pool.hpp"
#include "rollout/job_record.hpp"
#include "rollout/list_readers.hpp"
#include "store/item.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Record of a job with its revision, which a conditional write of the record must expect.
struct stored_record
{
    rollout::job_record record;
    std::uint64_t revision = 0;
};

/// \ingroup gateway
/// \brief Entries shared by all processes, as this process last read them.
struct shared_view
{
    /// Records by job.
    std::map<std::string, stored_record> records;
    /// Owner entries by job.
    std::map<std::string, store::item> owners;
    /// Members by host.
    rollout::member_map members;
    /// Entry of the leader, if there is one.
    std::optional<store::item> leader;
    /// Model assigned to each upstream.
    fleet::model_shares shares;
    /// Earliest time at which this process assigns an owner to a job that has none. Each attempt
    /// postpones it.
    std::map<std::string, base::mono_time> assign_orphan_at;
    /// Time at which the read of these entries was sent.
    base::mono_time read_at{};
};

} // namespace gooseberrywood::gateway

#endif
