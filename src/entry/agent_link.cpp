#include "entry/agent_link.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace gooseberrywood::entry
{

namespace
{

constexpr base::duration first_retry = std::chrono::milliseconds(50);

// An agent that restarts is found again within this time, as its upstreams are needed.
constexpr base::duration longest_retry = std::chrono::seconds(1);

void open(std::shared_ptr<agent_link> const& link);

void open_later(agent_link& link)
{
    // Jitter, so that the entries don't all connect to a restarted agent in the same instant.
    static std::minstd_rand random{std::random_device{}()};
    auto const ceiling =
        std::min(longest_retry,
                 first_retry * (std::int64_t{1} << std::min<std::uint32_t>(link.failures, 10)));
    std::uniform_int_distribution<std::int64_t> wait(ceiling.count() / 2, ceiling.count());
    ++link.failures;
    link.retry = base::at(base::mono_now() + base::duration{wait(random)},
                          [weak = link.weak_from_this()]
                          {
                              if (auto const self = weak.lock())
                              {
                                  open(self);
                              }
                          });
}

void handle_closed(agent_link& link, base::error const& why)
{
    base::log_line(base::log_level::info, "agent_disconnected",
                   {{"host", std::string_view(link.host)},
                    {"code", why.code},
                    {"message", std::string_view(why.message)}});
    link.connection.reset();
    open_later(link);
    link.handlers.on_lost(why);
}

void use_socket(agent_link& link, base::object_ptr<GSocket> socket)
{
    wire::connection_handlers handlers;
    handlers.stamp = link.handlers.stamp;
    handlers.on_frame = [weak = link.weak_from_this()](wire::frame& received)
    {
        if (auto const self = weak.lock())
        {
            self->failures = 0;
            self->handlers.on_frame(received);
        }
    };
    handlers.on_closed = [weak = link.weak_from_this()](base::error const& why)
    {
        if (auto const self = weak.lock())
        {
            handle_closed(*self, why);
        }
    };
    link.connection = wire::make_connection(std::move(socket), link.own, std::move(handlers));
}

void open(std::shared_ptr<agent_link> const& link)
{
    wire::connect_to(link->address,
                     [weak = std::weak_ptr(link)](base::result<base::object_ptr<GSocket>> socket)
                     {
                         auto const self = weak.lock();
                         if (!self)
                         {
                             return;
                         }
                         if (socket)
                         {
                             use_socket(*self, std::move(*socket));
                         }
                         else
                         {
                             open_later(*self);
                         }
                     });
}

} // namespace

std::shared_ptr<agent_link> make_link(std::string_view host, std::string_view address,
                                      wire::hello const& own, link_handlers handlers)
{
    auto made = std::make_shared<agent_link>();
    made->host = host;
    made->address = address;
    made->own = own;
    made->handlers = std::move(handlers);
    open(made);
    return made;
}

bool is_up(agent_link const& link)
{
    return link.connection && !link.connection->closed && link.connection->peer.has_value();
}

} // namespace gooseberrywood::entry
