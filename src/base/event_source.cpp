#include "base/event_source.hpp"

#include <glib-unix.h>

#include <algorithm>
#include <utility>

namespace gooseberrywood::base
{

namespace
{

struct callback
{
    std::function<void()> call;
    bool repeat = false;
};

gboolean run(gpointer data)
{
    // Copied, since the function may reset the source that owns it.
    callback const target = *static_cast<callback*>(data);
    target.call();
    return target.repeat ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

void release(gpointer data)
{
    delete static_cast<callback*>(data);
}

event_source attach(GSource* source, std::function<void()> call, bool repeat)
{
    g_source_set_callback(source, run, new callback{std::move(call), repeat}, release);
    g_source_attach(source, nullptr);
    return event_source(source);
}

} // namespace

event_source every(duration interval, std::function<void()> call)
{
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(interval).count();
    return attach(g_timeout_source_new(static_cast<guint>(std::max<std::int64_t>(1, ms))),
                  std::move(call), true);
}

event_source at(mono_time deadline, std::function<void()> call)
{
    GSource* const source = g_timeout_source_new(0);
    // GLib's timers run on a clock that stands still while the host is suspended.
    auto const left = deadline - mono_now();
    g_source_set_ready_time(source, g_get_monotonic_time() + left.count());
    return attach(source, std::move(call), false);
}

event_source soon(std::function<void()> call)
{
    return attach(g_idle_source_new(), std::move(call), false);
}

event_source on_signal(int number, std::function<void()> call)
{
    return attach(g_unix_signal_source_new(number), std::move(call), true);
}

} // namespace gooseberrywood::base
