#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_PROCESS_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_PROCESS_HPP

#include "process/support/eventually.hpp"
#include "process/support/temporary_folder.hpp"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace gooseberrywood::test
{

/// An argument with this text has it replaced by the path of the settings file.
inline constexpr std::string_view settings_placeholder = "{settings}";

/// A started program. It is killed by its id, and waited for, when this is destroyed.
///
/// A thread reads what it writes, so that a full pipe never blocks it. The program is also killed
/// when the thread that started it ends.
struct process
{
    /// \param program name of a program in the folder GOOSEBERRYWOOD_BIN.
    /// \param arguments may contain `settings_placeholder`.
    /// \param settings content of the settings file.
    process(std::string program, std::vector<std::string> arguments,
            std::string_view settings = {});
    process(process const&) = delete;
    process& operator=(process const&) = delete;
    ~process();

    std::string program;
    temporary_folder folder;
    pid_t pid = -1;
    int pid_descriptor = -1;

    std::mutex mutex;
    std::condition_variable changed;
    /// Everything below is guarded by `mutex`.
    std::string output;
    std::vector<nlohmann::json> lines;
    std::vector<bool> returned;
    std::optional<int> exit_status;

    std::thread reader;
};

using line_condition = std::function<bool(nlohmann::json const&)>;

/// Waits for a JSON line, on standard output or error, whose `event` is this. Each line is returned
/// once, and lines before it stay available to other calls.
/// \param condition further condition on the line.
/// \throws std::runtime_error with the output when the program ends or the time passes.
nlohmann::json wait_event(process& from, std::string_view event,
                          line_condition const& condition = {},
                          std::chrono::milliseconds within = patience);

/// Waits for the `listening` line.
/// \returns its port.
std::uint16_t wait_listening(process& from);

/// True when a JSON line with this event has been written so far.
[[nodiscard]] bool has_event(process& from, std::string_view event);

/// Memory of a program in bytes: what it uses now, or the most that it has used.
[[nodiscard]] std::size_t resident_bytes(process const& of);
[[nodiscard]] std::size_t most_resident_bytes(process const& of);

/// Sends a signal: SIGKILL, SIGSTOP, SIGCONT, SIGTERM. Does nothing once the program has ended.
void send_signal(process const& to, int number);

/// Waits until the program ends.
/// \returns the exit status, or 128 plus the signal that ended it.
/// \throws std::runtime_error with the output when the time passes.
int wait_exit(process& of, std::chrono::milliseconds within = patience);

} // namespace gooseberrywood::test

#endif
