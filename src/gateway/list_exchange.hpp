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
/// \brief Receives the answer to a request for a list; nothing when there is none.
using list_answered = std::function<void(std::optional<wire::list_answer> const&)>;

/// \ingroup gateway
/// \brief A request for a list that another gateway has not answered yet.
struct asked_list
{
    /// The gateway that was asked.
    std::string host;
    std::string address;
    list_answered then;
    base::event_source timer;
};

/// \ingroup gateway
/// \brief Requests for lists to other gateways.
struct list_exchange
{
    std::uint64_t last_number = 0;
    std::map<std::uint64_t, asked_list> waiting;
    /// Gateways that did not answer, by host; they are not asked before these times.
    std::map<std::string, base::mono_time, std::less<>> avoided_until;
};

/// \ingroup gateway
/// \brief The gateway that this one asks for lists now.
/// \returns nothing when this gateway is to read the store itself.
[[nodiscard]] std::optional<rollout::member> choose_reader(gateway const& self,
                                                           base::mono_time now);

/// \ingroup gateway
/// \brief The gateway that owns a job, if it can be asked for the job's results.
[[nodiscard]] std::optional<rollout::member> find_owner(gateway const& self, std::string const& job,
                                                        base::mono_time now);

/// \ingroup gateway
/// \brief Whether other gateways ask this one for lists.
[[nodiscard]] bool reads_for_others(gateway const& self);

/// \ingroup gateway
/// \brief Asks another gateway for a list. Without an answer that gateway is avoided for a while.
void request_list(gateway& self, rollout::member const& reader, wire::list_request what,
                  list_answered then);

/// \ingroup gateway
/// \brief Answers another gateway from the own copy of a list.
void answer_list_request(gateway& self, wire::connection& from, wire::list_request const& what);

/// \ingroup gateway
/// \brief Takes the answer of another gateway.
void take_list_answer(gateway& self, wire::list_answer const& got);

/// \ingroup gateway
/// \brief Ends the requests to a gateway that can't be reached any more.
void end_list_requests_to(gateway& self, std::string const& address);

} // namespace gooseberrywood::gateway

#endif
