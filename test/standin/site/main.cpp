// Stands in for the machines of the users; see site.hpp.
#include "standin/site/site.hpp"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:port of the store; port 0 lets the system choose");
DEFINE_int32(engines, 2, "upstreams of the service engines");
DEFINE_int32(desks, 2, "upstreams of the service desk");

namespace gooseberrywood::test
{

namespace
{

std::uint16_t port_of(http_server const& server)
{
    GSList* const uris = soup_server_get_uris(server.soup.get());
    auto const port = g_uri_get_port(static_cast<GUri*>(uris->data));
    g_slist_free_full(uris, [](gpointer uri) { g_uri_unref(static_cast<GUri*>(uri)); });
    return static_cast<std::uint16_t>(port);
}

base::result<void> add_upstreams(site& self, std::string const& service, int count, bool is_engine)
{
    for (int i = 0; i < count; ++i)
    {
        auto made = std::make_unique<site_upstream>();
        made->id = fmt::format("{}-{}", service, i);
        made->service = service;
        made->is_engine = is_engine;
        made->server.on_request = [&self, at = made.get()](SoupServerMessage* message)
        {
            serve_upstream(self, *at, message);
        };
        if (auto served = serve(made->server, "127.0.0.1:0"); !served)
        {
            return served;
        }
        made->port = port_of(made->server);
        announce(self, *made);
        self.upstreams.push_back(std::move(made));
    }
    return {};
}

} // namespace

} // namespace gooseberrywood::test

int main(int argc, char** argv)
{
    using namespace gooseberrywood;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    test::site self;
    self.store_server.on_request = [&self](SoupServerMessage* message)
    {
        test::serve_store(self, message, self.mode);
    };
    self.side_door.on_request = [&self](SoupServerMessage* message)
    {
        test::serve_store(self, message, self.side_door_mode);
    };
    // The store's port is the first one that is printed.
    if (auto const served = test::serve(self.store_server, FLAGS_listen); !served)
    {
        fmt::print(stderr, "{}\n", served.error().message);
        return 1;
    }
    if (!test::serve(self.side_door, "127.0.0.1:0"))
    {
        return 1;
    }
    self.side_door_port = test::port_of(self.side_door);
    if (!test::add_upstreams(self, "engines", FLAGS_engines, true) ||
        !test::add_upstreams(self, "desk", FLAGS_desks, false))
    {
        return 1;
    }
    g_main_loop_run(g_main_loop_new(nullptr, FALSE));
    return 0;
}
