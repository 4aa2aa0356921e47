#include "process.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Trefoil::Scenarios
{

namespace
{

constexpr std::chrono::milliseconds exitPollInterval{2};
constexpr int cannotExecuteCode = 127;

/// Runs in the child between fork and exec; only calls that are safe there.
[[noreturn]] void executeInChild(int log, pid_t parent, char *const *argv)
{
    // The kernel ends the child when the runner dies without cleaning up, for example in a failed assertion.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(cannotExecuteCode);
    }
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // Sockets of the parent that stay open here would never look closed to their other end.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(argv[0], argv);
    _exit(cannotExecuteCode);
}

} // namespace

Processes::~Processes()
{
    endAll();
}

Result<pid_t> Processes::start(const ProcessStart &description)
{
    if (isRunning(description.name)) {
        return Error{ErrorCode::Conflict, fmt::format("{} runs already", description.name)};
    }
    if (access(description.program.c_str(), X_OK) != 0) {
        return Error{ErrorCode::NotFound, fmt::format("cannot execute {}", description.program)};
    }
    std::vector<std::string> words = {description.program};
    words.insert(words.end(), description.arguments.begin(), description.arguments.end());
    std::vector<char *> argv;
    argv.reserve(words.size() + 1);
    for (auto &word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    const int log = open(description.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log < 0) {
        return Error{ErrorCode::Unavailable, fmt::format("cannot open {}: {}", description.logPath, std::strerror(errno))};
    }
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
        executeInChild(log, parent, argv.data());
    }
    close(log);
    if (pid < 0) {
        return Error{ErrorCode::Unavailable, fmt::format("cannot fork: {}", std::strerror(errno))};
    }
    m_processes[description.name] = {pid, std::nullopt};
    return pid;
}

Result<void> Processes::signal(const std::string &name, int number)
{
    if (!isRunning(name)) {
        return Error{ErrorCode::NotFound, fmt::format("{} does not run", name)};
    }
    kill(m_processes.at(name).pid, number);
    return boost::outcome_v2::success();
}

std::optional<int> Processes::waitForExit(const std::string &name, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    auto &process = m_processes.at(name);
    poll(process);
    while (!process.exitCode && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(exitPollInterval);
        poll(process);
    }
    return process.exitCode;
}

bool Processes::isRunning(const std::string &name)
{
    const auto position = m_processes.find(name);
    if (position == m_processes.end()) {
        return false;
    }
    poll(position->second);
    return !position->second.exitCode;
}

std::vector<std::string> Processes::names() const
{
    std::vector<std::string> names;
    names.reserve(m_processes.size());
    for (const auto &entry : m_processes) {
        names.push_back(entry.first);
    }
    return names;
}

void Processes::poll(Process &process)
{
    int status = 0;
    if (process.exitCode || waitpid(process.pid, &status, WNOHANG) != process.pid) {
        return;
    }
    process.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

void Processes::endAll()
{
    for (auto &[name, process] : m_processes) {
        poll(process);
        if (!process.exitCode) {
            kill(process.pid, SIGKILL);
        }
    }
    for (auto &[name, process] : m_processes) {
        if (!process.exitCode) {
            waitpid(process.pid, nullptr, 0);
            process.exitCode = 128 + SIGKILL;
        }
    }
}

} // namespace Trefoil::Scenarios
