#include "gateway/peer_messages.hpp"

#include "base/request_id.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/job_notices.hpp"
#include "gateway/list_exchange.hpp"
#include "gateway/permits.hpp"
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
        handle_store_answer(self, *answer);
    }
    else if (auto const* request = std::get_if<wire::list_request>(&received))
    {
        answer_list_request(self, from, *request);
    }
    else if (auto const* list = std::get_if<wire::list_answer>(&received))
    {
        handle_list_answer(self, *list);
    }
    else if (auto const* permit = std::get_if<wire::permit_request>(&received))
    {
        answer_permit_request(self, from, *permit);
    }
    else if (auto const* decided = std::get_if<wire::permit_answer>(&received))
    {
        handle_permit_answer(self, *decided);
    }
    else if (auto const* crashed = std::get_if<wire::suspect>(&received))
    {
        apply_crash_notice(self, from, *crashed);
    }
}

} // namespace

base::result<void> start_peer_messages(gateway& self)
{
    self.peers.own_hello.role = wire::peer_role::gateway;
    self.peers.own_hello.host = self.settings.host;
    self.peers.own_hello.domain = self.settings.domain;
    self.peers.own_hello.incarnation = base::random_request_id().low;
    self.peers.on_message = [&self](wire::connection& from, wire::message const& received)
    {
        on_message(self, from, received);
    };
    self.peers.on_disconnected = [&self](std::string const& address)
    {
        fail_relayed_calls(self, address);
        fail_list_requests_to(self, address);
        fail_permit_requests_to(self, address);
    };
    return listen_for_peers(self.peers, self.settings.listen_peers);
}

} // namespace gooseberrywood::gateway
