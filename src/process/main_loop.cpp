#include "process/main_loop.hpp"

#include <csignal>
#include <utility>

namespace gooseberrywood::process
{

main_loop::main_loop() : loop(g_main_loop_new(nullptr, FALSE))
{
}

main_loop::~main_loop()
{
    g_main_loop_unref(loop);
}

void run(main_loop& which, std::function<void()> on_stop_signal)
{
    // A peer that closes its socket is seen as an error of the write, not as a signal.
    (void)std::signal(SIGPIPE, SIG_IGN);
    which.on_term = base::on_signal(SIGTERM, on_stop_signal);
    which.on_int = base::on_signal(SIGINT, std::move(on_stop_signal));
    g_main_loop_run(which.loop);
}

void stop(main_loop& which)
{
    g_main_loop_quit(which.loop);
}

} // namespace gooseberrywood::process
