#include "process/support/process.hpp"

#include <fmt/format.h>

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

// The header of glibc 2.36 lacks the linkage specification.
extern "C"
{
#include <sys/pidfd.h>
}

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <string>
#include <utility>

namespace gooseberrywood::test
{

namespace
{

/// Longest part of the output that an error message quotes.
constexpr std::size_t quoted_bytes = 4000;

std::runtime_error failure(process const& of, std::string_view what)
{
    auto const begin = of.output.size() > quoted_bytes ? of.output.size() - quoted_bytes : 0;
    return std::runtime_error(
        fmt::format("{}: {}; its output was:\n{}", of.program, what, of.output.substr(begin)));
}

void take_line(process& self, std::string const& line)
{
    std::lock_guard const lock(self.mutex);
    self.output += line + '\n';
    auto parsed = nlohmann::json::parse(line, nullptr, false);
    if (parsed.is_object())
    {
        self.lines.push_back(std::move(parsed));
        self.returned.push_back(false);
    }
    self.changed.notify_all();
}

/// \returns false at the end of the stream.
bool read_some(process& self, int descriptor, std::string& unfinished)
{
    std::array<char, 65536> buffer; // NOLINT: filled by read
    auto const size = read(descriptor, buffer.data(), buffer.size());
    if (size <= 0)
    {
        return false;
    }
    unfinished.append(buffer.data(), static_cast<std::size_t>(size));
    std::size_t end = 0;
    while ((end = unfinished.find('\n')) != std::string::npos)
    {
        take_line(self, unfinished.substr(0, end));
        unfinished.erase(0, end + 1);
    }
    return true;
}

void read_until_exit(process& self, std::array<int, 2> descriptors)
{
    std::array<pollfd, 2> polled = {{{descriptors[0], POLLIN, 0}, {descriptors[1], POLLIN, 0}}};
    std::array<std::string, 2> unfinished;
    while (polled[0].fd >= 0 || polled[1].fd >= 0)
    {
        poll(polled.data(), polled.size(), -1);
        for (std::size_t i = 0; i < polled.size(); ++i)
        {
            auto& one = polled.at(i);
            if (one.revents != 0 && !read_some(self, one.fd, unfinished.at(i)))
            {
                close(one.fd);
                // poll ignores negative descriptors.
                one.fd = -1;
                one.revents = 0;
            }
        }
    }
    int status = 0;
    waitpid(self.pid, &status, 0);
    std::lock_guard const lock(self.mutex);
    self.exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    self.changed.notify_all();
}

std::string program_path(std::string const& program)
{
    auto const* const folder = std::getenv("GOOSEBERRYWOOD_BIN");
    if (folder == nullptr)
    {
        throw std::runtime_error("GOOSEBERRYWOOD_BIN must name the build folder");
    }
    return std::string(folder) + "/" + program;
}

} // namespace

process::process(std::string program, std::vector<std::string> arguments, std::string_view settings)
    : program(std::move(program))
{
    auto const path = program_path(this->program);
    auto const settings_file = folder.path / "settings.toml";
    std::ofstream(settings_file) << settings;
    std::vector<char*> argv = {const_cast<char*>(path.c_str())};
    for (auto& argument : arguments)
    {
        if (auto const at = argument.find(settings_placeholder); at != std::string::npos)
        {
            argument.replace(at, settings_placeholder.size(), settings_file.string());
        }
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    std::array<int, 2> out{};
    std::array<int, 2> err{};
    if (pipe2(out.data(), O_CLOEXEC) != 0 || pipe2(err.data(), O_CLOEXEC) != 0)
    {
        throw std::runtime_error("can't make a pipe");
    }
    pid = fork();
    if (pid == 0)
    {
        // A test that is killed, for example at its time limit, leaves no programs behind.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(out[1], STDOUT_FILENO);
        dup2(err[1], STDERR_FILENO);
        execv(path.c_str(), argv.data());
        _exit(127);
    }
    close(out[1]);
    close(err[1]);
    if (pid < 0)
    {
        close(out[0]);
        close(err[0]);
        throw std::runtime_error("can't fork");
    }
    pid_descriptor = pidfd_open(pid, 0);
    reader = std::thread([this, out, err] { read_until_exit(*this, {out[0], err[0]}); });
}

process::~process()
{
    send_signal(*this, SIGKILL);
    reader.join();
    close(pid_descriptor);
}

nlohmann::json wait_event(process& from, std::string_view event, line_condition const& condition,
                          std::chrono::milliseconds within)
{
    auto const deadline = std::chrono::steady_clock::now() + within;
    std::unique_lock lock(from.mutex);
    for (std::size_t next = 0;;)
    {
        for (; next < from.lines.size(); ++next)
        {
            auto const& line = from.lines.at(next);
            if (!from.returned.at(next) && line.value("event", "") == event &&
                (!condition || condition(line)))
            {
                from.returned.at(next) = true;
                return line;
            }
        }
        if (from.exit_status)
        {
            throw failure(from, fmt::format("ended with status {} before the event {}",
                                            *from.exit_status, event));
        }
        if (from.changed.wait_until(lock, deadline) == std::cv_status::timeout &&
            next == from.lines.size())
        {
            throw failure(from, fmt::format("no event {} in time", event));
        }
    }
}

std::uint16_t wait_listening(process& from)
{
    return wait_event(from, "listening").at("port").get<std::uint16_t>();
}

bool has_event(process& from, std::string_view event)
{
    std::lock_guard const lock(from.mutex);
    return std::ranges::any_of(from.lines, [event](nlohmann::json const& line)
                               { return line.value("event", "") == event; });
}

namespace
{

/// A value that the system tells of a program in kilobytes.
std::size_t status_bytes(process const& of, std::string const& name)
{
    constexpr std::size_t kilobyte = 1024;
    std::ifstream file(fmt::format("/proc/{}/status", of.pid));
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with(name + ":"))
        {
            return std::stoul(line.substr(name.size() + 1)) * kilobyte;
        }
    }
    throw std::runtime_error("no " + name + " of " + of.program);
}

} // namespace

std::size_t resident_bytes(process const& of)
{
    return status_bytes(of, "VmRSS");
}

std::size_t most_resident_bytes(process const& of)
{
    return status_bytes(of, "VmHWM");
}

void send_signal(process const& to, int number)
{
    // The descriptor, unlike the id, can't come to mean another process.
    pidfd_send_signal(to.pid_descriptor, number, nullptr, 0);
}

int wait_exit(process& of, std::chrono::milliseconds within)
{
    std::unique_lock lock(of.mutex);
    if (!of.changed.wait_for(lock, within, [&of] { return of.exit_status.has_value(); }))
    {
        throw failure(of, "did not end in time");
    }
    return *of.exit_status;
}

} // namespace gooseberrywood::test
