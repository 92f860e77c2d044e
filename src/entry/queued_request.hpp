#ifndef GOOSEBERRYWOOD_ENTRY_QUEUED_REQUEST_HPP
#define GOOSEBERRYWOOD_ENTRY_QUEUED_REQUEST_HPP

#include "admission/queue_tag.hpp"
#include "entry/request.hpp"

namespace gooseberrywood::entry
{

/// \ingroup entry
/// \brief Place of a request in the entry's queue. The request stays in the entry's table; its
/// address is stable there.
struct queued_request
{
    request const* of = nullptr;
    /// `ROUTE`, or `ROUTE suspect`: a suspect that waits for another one must not hold up the rest.
    std::string lane;
};

/// \brief What the queue needs to know.
[[nodiscard]] inline admission::queue_tag queue_tag_of(queued_request const& item)
{
    auto const& r = *item.of;
    return {r.id,          r.caller.team,        r.caller.key_hash, item.lane,
            r.caller.cost, r.caller.body.size(), r.latest_dispatch};
}

static_assert(admission::queue_item<queued_request>);

} // namespace gooseberrywood::entry

#endif
