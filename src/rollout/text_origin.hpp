#ifndef GOOSEBERRYWOOD_ROLLOUT_TEXT_ORIGIN_HPP
#define GOOSEBERRYWOOD_ROLLOUT_TEXT_ORIGIN_HPP

#include <string>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief What generated a text. Only upstreams of the same service and software version may
/// continue it: what others write does not fit, and upstreams don't check this.
struct text_origin
{
    std::string service;
    std::string software_version;

    friend bool operator==(text_origin const&, text_origin const&) = default;
};

} // namespace gooseberrywood::rollout

#endif
