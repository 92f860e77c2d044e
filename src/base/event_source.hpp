#ifndef GOOSEBERRYWOOD_BASE_EVENT_SOURCE_HPP
#define GOOSEBERRYWOOD_BASE_EVENT_SOURCE_HPP

#include "base/time.hpp"

#include <glib.h>

#include <functional>
#include <memory>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief Removes a source from its loop and releases it.
struct source_remove
{
    void operator()(GSource* source) const
    {
        g_source_destroy(source);
        g_source_unref(source);
    }
};

/// \ingroup base
/// \brief Owns a GLib source; it fires no more once this is destroyed or reset.
using event_source = std::unique_ptr<GSource, source_remove>;

/// \ingroup base
/// \brief Calls a function again and again.
/// \param interval time between two calls; at least one millisecond.
/// \param call what to call.
[[nodiscard]] event_source every(duration interval, std::function<void()> call);

/// \ingroup base
/// \brief Calls a function once, at or after a deadline.
[[nodiscard]] event_source at(mono_time deadline, std::function<void()> call);

/// \ingroup base
/// \brief Calls a function once, as soon as the loop has handled what is pending.
[[nodiscard]] event_source soon(std::function<void()> call);

/// \ingroup base
/// \brief Calls a function in the loop when the process receives a signal.
[[nodiscard]] event_source on_signal(int number, std::function<void()> call);

} // namespace gooseberrywood::base

#endif
