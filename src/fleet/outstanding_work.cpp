#include "fleet/outstanding_work.hpp"

#include <algorithm>

namespace gooseberrywood::fleet
{

void add_work(outstanding_work& total, request_work const& sent)
{
    total.sum += sent.left;
}

void reduce_work(outstanding_work& total, request_work& request, double done)
{
    auto const reduced = std::min(done, request.left);
    request.left -= reduced;
    total.sum = std::max(0.0, total.sum - reduced);
}

void remove_work(outstanding_work& total, request_work const& ended)
{
    total.sum = std::max(0.0, total.sum - ended.left);
}

} // namespace gooseberrywood::fleet
