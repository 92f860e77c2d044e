#include "admission/service_estimate.hpp"

#include <algorithm>

namespace gooseberrywood::admission
{

namespace
{

/// Averages over about the last 20 completions.
constexpr double observation_weight = 0.05;

/// Maximum of an estimate, so that the product of a malicious cost and a slow average stays within
/// the range of a duration.
constexpr double max_estimate_us = 3600e6;

void average(double& value, double observed)
{
    value = value <= 0 ? observed : value + observation_weight * (observed - value);
}

base::duration bounded(double us)
{
    return base::duration(static_cast<std::int64_t>(std::min(us, max_estimate_us)));
}

} // namespace

void observe(service_estimate& estimate, base::duration total, std::uint32_t cost)
{
    auto const us = static_cast<double>(std::max<std::int64_t>(total.count(), 1));
    average(estimate.request_us, us);
    average(estimate.token_us, us / static_cast<double>(std::max(cost, 1U)));
}

base::duration expected_service(service_estimate const& estimate, std::uint32_t cost)
{
    return bounded(estimate.token_us * static_cast<double>(std::max(cost, 1U)));
}

base::duration expected_wait(service_estimate const& estimate, std::size_t ahead,
                             std::uint32_t limit)
{
    return bounded(estimate.request_us * static_cast<double>(ahead) /
                   static_cast<double>(std::max(limit, 1U)));
}

} // namespace gooseberrywood::admission
