#include "rollout/waiting_sample.hpp"

#include <algorithm>

namespace gooseberrywood::rollout
{

namespace
{

// Slack that is added for each level by which a route is less urgent.
constexpr base::duration slack_per_priority = std::chrono::milliseconds(200);

base::duration slack_of(waiting_sample const& sample, base::mono_time now, double us_per_token)
{
    base::duration const needed(static_cast<std::int64_t>(sample.tokens_left * us_per_token));
    return sample.due - now - needed + slack_per_priority * sample.priority;
}

} // namespace

void sort_by_slack(std::vector<waiting_sample>& samples, base::mono_time now, double us_per_token)
{
    std::stable_sort(samples.begin(), samples.end(),
                     [&](waiting_sample const& a, waiting_sample const& b)
                     {
                         bool const a_late = a.due <= now;
                         bool const b_late = b.due <= now;
                         if (a_late != b_late)
                         {
                             return b_late;
                         }
                         return slack_of(a, now, us_per_token) < slack_of(b, now, us_per_token);
                     });
}

} // namespace gooseberrywood::rollout
