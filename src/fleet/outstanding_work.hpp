#ifndef GOOSEBERRYWOOD_FLEET_OUTSTANDING_WORK_HPP
#define GOOSEBERRYWOOD_FLEET_OUTSTANDING_WORK_HPP

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Expected work of one request that an upstream still has to do. The unit depends on the
/// kind of request: events of a sample, or for a plain request multiples of the service's mean
/// response time.
struct request_work
{
    /// Never negative, and 0 once a sample has produced more events than expected.
    double left = 0;
};

/// \ingroup fleet
/// \brief Work that this process has sent to an upstream and that is not answered.
struct outstanding_work
{
    /// Sum of `request_work::left`.
    double sum = 0;
};

/// \ingroup fleet
/// \brief Adds the work of a request that is sent.
void add_work(outstanding_work& total, request_work const& sent);

/// \ingroup fleet
/// \brief Reduces the work by a part that is done, at most to 0.
void reduce_work(outstanding_work& total, request_work& request, double done);

/// \ingroup fleet
/// \brief Removes what is left of the work of a request that has ended.
void remove_work(outstanding_work& total, request_work const& ended);

} // namespace gooseberrywood::fleet

#endif
