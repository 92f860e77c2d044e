#include "gateway/peer_messages.hpp"

#include "base/request_id.hpp"
#include "gateway/job_notices.hpp"
#include "gateway/list_exchange.hpp"
#include "gateway/store_relay.hpp"

#include <variant>

namespace gooseberrywood::gateway
{

namespace
{

void on_message(gateway& self, wire::connection& from, wire::message const& received)
{
    if (auto const* assigned = std::get_if<wire::job_assigned>(&received))
    {
        handle_notice(self, *assigned);
    }
    else if (auto const* ended = std::get_if<wire::job_ended>(&received))
    {
        handle_notice(self, *ended);
    }
    else if (auto const* loading = std::get_if<wire::weights_loading>(&received))
    {
        handle_notice(self, *loading);
    }
    else if (auto const* call = std::get_if<wire::store_call>(&received))
    {
        relay_store_call(self, from, *call);
    }
    else if (auto const* answer = std::get_if<wire::store_answer>(&received))
    {
        take_store_answer(self, *answer);
    }
    else if (auto const* request = std::get_if<wire::list_request>(&received))
    {
        answer_list_request(self, from, *request);
    }
    else if (auto const* list = std::get_if<wire::list_answer>(&received))
    {
        take_list_answer(self, *list);
    }
}

} // namespace

base::result<void> start_peer_messages(gateway& self)
{
    self.peers.own.role = wire::peer_role::gateway;
    self.peers.own.host = self.settings.host;
    self.peers.own.domain = self.settings.domain;
    self.peers.own.incarnation = base::random_request_id().low;
    self.peers.on_message = [&self](wire::connection& from, wire::message const& received)
    {
        on_message(self, from, received);
    };
    self.peers.on_lost = [&self](std::string const& address)
    {
        end_calls_through(self, address);
        end_list_requests_to(self, address);
    };
    return listen_for_peers(self.peers, self.settings.listen_peers);
}

} // namespace gooseberrywood::gateway
