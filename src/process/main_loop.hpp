#ifndef GOOSEBERRYWOOD_PROCESS_MAIN_LOOP_HPP
#define GOOSEBERRYWOOD_PROCESS_MAIN_LOOP_HPP

#include "base/event_source.hpp"
#include "base/time.hpp"

#include <functional>

namespace gooseberrywood::process
{

/// \ingroup process
/// \brief GLib main loop of a process with its signal handlers.
struct main_loop
{
    main_loop();
    ~main_loop();
    main_loop(main_loop const&) = delete;
    main_loop& operator=(main_loop const&) = delete;

    GMainLoop* loop;
    base::event_source on_term;
    base::event_source on_int;
};

/// \ingroup process
/// \brief Runs the loop until `stop` is called.
/// \param on_stop_signal called on SIGTERM and SIGINT.
void run(main_loop& loop, std::function<void()> on_stop_signal);

/// \ingroup process
/// \brief Sets a delay before each poll, so that one iteration handles several events. Each
/// iteration costs time for every open connection; fewer iterations save processor time when many
/// connections carry few bytes each.
/// \param delay zero to poll at once.
void set_poll_delay(base::duration delay);

/// \ingroup process
/// \brief Makes `run` return.
void stop(main_loop& loop);

} // namespace gooseberrywood::process

#endif
