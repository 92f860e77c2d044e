#include "process/main_loop.hpp"

#include <csignal>
#include <utility>

namespace gooseberrywood::process
{

namespace
{

// GLib passes no data to its poll function. There is one loop in a process.
base::duration gather_pause{};

gint poll_after_pause(GPollFD* descriptors, guint count, gint timeout_ms)
{
    // Without a time to wait, work is pending.
    if (timeout_ms != 0 && gather_pause > base::duration{})
    {
        g_usleep(static_cast<gulong>(gather_pause.count()));
    }
    return g_poll(descriptors, count, timeout_ms);
}

} // namespace

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
    g_main_context_set_poll_func(g_main_loop_get_context(which.loop), poll_after_pause);
    g_main_loop_run(which.loop);
}

void set_poll_delay(base::duration pause)
{
    gather_pause = pause;
}

void stop(main_loop& which)
{
    g_main_loop_quit(which.loop);
}

} // namespace gooseberrywood::process
