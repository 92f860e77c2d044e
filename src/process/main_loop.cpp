#include "process/main_loop.hpp"

#include <csignal>
#include <utility>

namespace gooseberrywood::process
{

namespace
{

// Global because GLib passes no user data to its poll function; a process has one main loop.
base::duration poll_delay{};

gint poll_after_delay(GPollFD* descriptors, guint count, gint timeout_ms)
{
    // A time-out of 0 means that work is pending.
    if (timeout_ms != 0 && poll_delay > base::duration{})
    {
        g_usleep(static_cast<gulong>(poll_delay.count()));
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

void run(main_loop& loop, std::function<void()> on_stop_signal)
{
    // Writing to a socket that the peer closed then returns an error instead of raising SIGPIPE.
    (void)std::signal(SIGPIPE, SIG_IGN);
    loop.on_term = base::on_signal(SIGTERM, on_stop_signal);
    loop.on_int = base::on_signal(SIGINT, std::move(on_stop_signal));
    g_main_context_set_poll_func(g_main_loop_get_context(loop.loop), poll_after_delay);
    g_main_loop_run(loop.loop);
}

void set_poll_delay(base::duration delay)
{
    poll_delay = delay;
}

void stop(main_loop& loop)
{
    g_main_loop_quit(loop.loop);
}

} // namespace gooseberrywood::process
