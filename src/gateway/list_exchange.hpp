#ifndef GOOSEBERRYWOOD_GATEWAY_LIST_EXCHANGE_HPP
#define GOOSEBERRYWOOD_GATEWAY_LIST_EXCHANGE_HPP

#include "base/event_source.hpp"
#include "rollout/member.hpp"
#include "wire/connection.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace gooseberrywood::gateway
{

struct gateway;

/// \ingroup gateway
/// \brief Receives the answer to a list request, or nothing when the request failed.
using list_answer_handler = std::function<void(std::optional<wire::list_answer> const&)>;

/// \ingroup gateway
/// \brief A list request that another gateway has not answered yet.
struct pending_list_request
{
    /// Host of the gateway that the request was sent to.
    std::string host;
    std::string address;
    list_answer_handler on_answer;
    base::event_source timer;
};

/// \ingroup gateway
/// \brief State of the list requests to other gateways.
struct list_exchange
{
    std::uint64_t last_number = 0;
    std::map<std::uint64_t, pending_list_request> pending;
    /// Gateways that did not answer, by host; no request is sent to them before these times.
    std::map<std::string, base::mono_time, std::less<>> avoided_until;
};

/// \ingroup gateway
/// \brief Chooses the gateway to request lists from.
/// \returns nothing when this gateway must read the store itself.
[[nodiscard]] std::optional<rollout::member> choose_reader(gateway const& self,
                                                           base::mono_time now);

/// \ingroup gateway
/// \brief Finds the gateway that owns a job.
/// \returns nothing when the owner is unknown, is this gateway, or can't be asked for results.
[[nodiscard]] std::optional<rollout::member> find_owner(gateway const& self, std::string const& job,
                                                        base::mono_time now);

/// \ingroup gateway
/// \brief Whether this gateway reads the lists of the store on behalf of others.
[[nodiscard]] bool reads_for_others(gateway const& self);

/// \ingroup gateway
/// \brief Requests a list from another gateway. A gateway that does not answer in time is avoided
/// for a few seconds.
/// \param on_answer called once.
void request_list(gateway& self, rollout::member const& reader, wire::list_request request,
                  list_answer_handler on_answer);

/// \ingroup gateway
/// \brief Answers a list request of another gateway from the local copy of the list, or from the
/// results of a job that this gateway owns.
void answer_list_request(gateway& self, wire::connection& from, wire::list_request const& request);

/// \ingroup gateway
/// \brief Completes the pending list request that an answer belongs to.
void handle_list_answer(gateway& self, wire::list_answer const& answer);

/// \ingroup gateway
/// \brief Fails the pending list requests to a gateway that can't be reached any more.
/// \param address peer address of that gateway.
void fail_list_requests_to(gateway& self, std::string const& address);

} // namespace gooseberrywood::gateway

#endif
