#pragma once

#include <LibCore/result.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Trefoil::Scenarios
{

/// What to start, and where its output goes.
struct ProcessStart
{
    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    /// Standard output and standard error, appended.
    std::string logPath;
};

/// Processes of one scenario. Every process is ended by its pid when the object goes, and by the kernel when the thread
/// that started it dies. Thread safety: not safe.
class Processes
{
public:
    Processes() = default;
    ~Processes();
    Processes(const Processes &) = delete;
    Processes &operator=(const Processes &) = delete;

    /// Starts a program under a name that is free or whose process has ended.
    Result<pid_t> start(const ProcessStart &description);

    /// Sends a signal. Error when no process of that name runs.
    Result<void> signal(const std::string &name, int number);

    /// Waits for the end of a process. The exit code, or 128 + the signal; none when it still runs after the limit.
    /// Precondition: a process of that name was started.
    std::optional<int> waitForExit(const std::string &name, std::chrono::milliseconds limit);

    bool isRunning(const std::string &name);

    /// Kills all processes that still run and waits for their end.
    void endAll();

    /// Names of all processes that were started, ended or not.
    std::vector<std::string> names() const;

private:
    struct Process
    {
        pid_t pid = 0;
        std::optional<int> exitCode;
    };

    static void poll(Process &process);
    std::map<std::string, Process> m_processes;
};

} // namespace Trefoil::Scenarios
