#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <sys/types.h>

namespace Trefoil::Review
{

/// One host of the deployment: the program of the deploy file in a process of its own, which ends with this object.
/// Thread safety: one thread at a time; the thread that starts the process must live as long as it.
class Host
{
public:
    /// Writes the settings file into the folder. Precondition: the folder exists; the program starts in the repository's root.
    Host(std::string name, std::string zone, std::string ip, const std::string &storeAddress, const std::string &folder);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    /// Precondition: the process doesn't run.
    void start();

    /// False when the host isn't ready within some seconds. Precondition: the process runs.
    bool awaitReady() const;

    /// Kills the process if it runs. Precondition: none.
    void end();

    /// Sends a signal. Precondition: the process runs.
    void signal(int number) const;

    /// Whether the process runs. Precondition: it was started.
    bool isRunning();

    /// Resident memory in megabytes; 0 when the process doesn't run. Precondition: none.
    std::size_t residentMegabytes() const;

    /// IP:port for callers. Precondition: none.
    std::string callerAddress() const;

private:
    std::string m_name;
    std::string m_ip;
    std::string m_settingsPath;
    std::string m_logPath;
    std::optional<pid_t> m_pid;
};

} // namespace Trefoil::Review
