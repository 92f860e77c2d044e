// Stands in for a model engine or a plain service; see upstream.hpp.
#include "standin/upstream/upstream.hpp"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:port; port 0 lets the system choose");
DEFINE_string(kind, "engine", "engine or service");
DEFINE_int64(token_us, 1000, "time that a token takes");
DEFINE_int64(first_token_us, 1000, "time to the first token, or to the answer of a service");
DEFINE_int64(bears_fresh, 0, "concurrent requests that a fresh upstream bears");
DEFINE_int64(bears_warm, 0, "concurrent requests that a warm upstream bears; 0: any number");
DEFINE_int64(warm_up_s, 0, "time to warm up");
DEFINE_uint64(weight_version, 1, "weight version at the start");
DEFINE_string(crash_word, "", "a prompt with this word makes the process abort");
DEFINE_bool(checks_fencing, false, "refuse orders with an old fencing number");

int main(int argc, char** argv)
{
    using namespace gooseberrywood;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    test::upstream self;
    self.options = {FLAGS_kind == "engine",
                    base::duration(FLAGS_token_us),
                    base::duration(FLAGS_first_token_us),
                    FLAGS_bears_fresh,
                    FLAGS_bears_warm,
                    std::chrono::seconds(FLAGS_warm_up_s),
                    FLAGS_crash_word,
                    FLAGS_checks_fencing};
    self.weight_version = FLAGS_weight_version;
    self.serving_since = base::mono_now();
    self.server.on_request = [&self](SoupServerMessage* message)
    {
        auto const path = test::path_of(message);
        if (path.starts_with("/standin"))
        {
            test::control(self, message, path);
        }
        else
        {
            test::start_run(self, message);
        }
    };
    if (auto const served = test::serve(self.server, FLAGS_listen); !served)
    {
        fmt::print(stderr, "{}\n", served.error().message);
        return 1;
    }
    g_main_loop_run(g_main_loop_new(nullptr, FALSE));
    return 0;
}
