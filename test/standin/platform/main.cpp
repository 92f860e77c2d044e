// Stands in for the platform; docs/platform.md has the paths, and platform.hpp the faults.
#include "standin/platform/platform.hpp"

#include <gflags/gflags.h>

#include <memory>

DEFINE_string(listen, "127.0.0.1:0", "IP:port; port 0 lets the system choose");
DEFINE_int64(host_lag_us, 0, "time until the host list shows a change");
DEFINE_bool(checks_fencing, false, "refuse orders and reports with an old fencing number");
DEFINE_double(weight_calls_per_s, 0, "rate limit of the weight store; 0: none");

namespace gooseberrywood::test
{

namespace
{

fault_rule* matching_rule(platform_standin& self, provider::call_kind kind)
{
    for (auto& rule : self.faults)
    {
        if (rule.count != 0 && (rule.kind == "*" || rule.kind == name_of(kind)))
        {
            rule.count -= rule.count > 0 ? 1 : 0;
            return &rule;
        }
    }
    return nullptr;
}

void serve_late(platform_standin& self, SoupServerMessage* message, provider::call_kind kind,
                base::duration delay)
{
    soup_server_message_pause(message);
    auto const timer = std::make_shared<base::event_source>();
    // The timer owns itself until it has fired.
    *timer = base::at(base::mono_now() + delay,
                      [&self, owned = std::shared_ptr(base::share(message)), kind, timer]
                      {
                          serve_call(self, owned.get(), kind);
                          if (soup_server_message_get_status(owned.get()) != SOUP_STATUS_NONE)
                          {
                              soup_server_message_unpause(owned.get());
                          }
                          timer->reset();
                      });
}

void take_request(platform_standin& self, SoupServerMessage* message)
{
    auto const path = path_of(message);
    if (path.starts_with("/standin/"))
    {
        control(self, message, path);
        return;
    }
    auto const kind = kind_of(soup_server_message_get_method(message), path, query_of(message));
    if (!kind)
    {
        answer(message, SOUP_STATUS_NOT_FOUND, nullptr);
        return;
    }
    ++self.calls.at(static_cast<std::size_t>(*kind));
    auto const* const rule = matching_rule(self, *kind);
    if (rule == nullptr)
    {
        serve_call(self, message, *kind);
    }
    else if (rule->mode == "refuse")
    {
        answer(message, SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
    }
    else if (rule->mode == "hang")
    {
        soup_server_message_pause(message);
    }
    else if (rule->mode == "slow")
    {
        serve_late(self, message, *kind, rule->delay);
    }
    else
    {
        // A watch has no effect that could come before its answer.
        if (*kind != provider::call_kind::store_watch)
        {
            serve_call(self, message, *kind);
        }
        soup_server_message_pause(message);
        close_connection(message);
    }
}

} // namespace

} // namespace gooseberrywood::test

int main(int argc, char** argv)
{
    using namespace gooseberrywood;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    test::platform_standin self;
    self.host_lag = base::duration(FLAGS_host_lag_us);
    self.checks_fencing = FLAGS_checks_fencing;
    self.weight_calls_per_s = FLAGS_weight_calls_per_s;
    self.server.on_request = [&self](SoupServerMessage* message)
    {
        test::take_request(self, message);
    };
    if (auto const served = test::serve(self.server, FLAGS_listen); !served)
    {
        fmt::print(stderr, "{}\n", served.error().message);
        return 1;
    }
    g_main_loop_run(g_main_loop_new(nullptr, FALSE));
    return 0;
}
