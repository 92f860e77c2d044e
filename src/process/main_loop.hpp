#ifndef GOOSEBERRYWOOD_PROCESS_MAIN_LOOP_HPP
#define GOOSEBERRYWOOD_PROCESS_MAIN_LOOP_HPP

#include "base/event_source.hpp"
#include "base/time.hpp"

#include <functional>

namespace gooseberrywood::process
{

/// \ingroup process
/// \brief The loop of a process.
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
/// \brief Runs until `stop`.
/// \param on_stop_signal called on SIGTERM and SIGINT.
void run(main_loop& which, std::function<void()> on_stop_signal);

/// \ingroup process
/// \brief Lets events gather for a moment each time before the loop looks for them. Each round of
/// the loop costs time for every open connection, so that many connections with few bytes each are
/// served with less processor time.
/// \param pause zero to look at once.
void set_poll_delay(base::duration pause);

/// \ingroup process
/// \brief Makes `run` return.
void stop(main_loop& which);

} // namespace gooseberrywood::process

#endif
