#include "host.h"

#include "connection.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace Trefoil::Review
{

using Json = nlohmann::json;

namespace
{

/// The command of the deploy file.
constexpr const char *s_program = "target/Services/trefoilmountd/trefoilmountd";
constexpr const char *s_argument = "--gateway";
/// The ports of a host; each host has an IP number of its own.
constexpr const char *s_callerPort = "8381";
constexpr const char *s_lookupPort = "8383";
constexpr const char *s_readinessPort = "8388";
constexpr const char *s_peerPort = "7200";
constexpr const char *s_metricsPort = "9464";
constexpr milliseconds s_readyLimit{15000};
constexpr milliseconds s_readyInterval{50};
constexpr milliseconds s_answerLimit{1000};
constexpr std::size_t s_kilobytesPerMegabyte = 1024;

} // namespace

Host::Host(std::string name, std::string zone, std::string ip, const std::string &storeAddress, const std::string &folder)
    : m_name(std::move(name))
    , m_ip(std::move(ip))
    , m_settingsPath(folder + "/" + m_name + ".json")
    , m_logPath(folder + "/" + m_name + ".log")
{
    const auto at = [this](const char *port) { return m_ip + ":" + port; };
    const Json settings = {{"host", m_name},
        {"zone", zone},
        {"region", "gulf"},
        {"sourceAddress", m_ip},
        {"callerAddress", at(s_callerPort)},
        {"readinessAddress", at(s_readinessPort)},
        {"lookupAddress", at(s_lookupPort)},
        {"peerAddress", at(s_peerPort)},
        {"metricsAddress", at(s_metricsPort)},
        {"zones", {{"gulf-a", "gulf"}, {"gulf-b", "gulf"}}},
        {"firstStart", true},
        {"store", {{"address", storeAddress}}},
        {"limits",
            {{"stopGrace", "6s"},
                {"lookupLifetime", "5s"},
                {"retryRatio", 0.2},
                {"retryWindow", "10s"},
                {"retrySlack", 60},
                {"coldFactor", 1.5},
                {"coldSlack", 5},
                {"largestShift", 0.15},
                {"drainNotice", "2000ms"},
                {"configurationApply", "2000ms"}}}};
    std::ofstream(m_settingsPath) << settings.dump(1) << "\n";
}

Host::~Host()
{
    end();
}

void Host::end()
{
    if (isRunning()) {
        signal(SIGKILL);
        ::waitpid(*m_pid, nullptr, 0);
        m_pid.reset();
    }
}

void Host::start()
{
    const std::string settings = "TREFOILMOUNT_SETTINGS=" + m_settingsPath;
    std::array<char *, 2> environment{const_cast<char *>(settings.c_str()), nullptr};
    std::array<char *, 3> arguments{const_cast<char *>(s_program), const_cast<char *>(s_argument), nullptr};
    const int log = ::open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid < 0) {
        throw std::runtime_error("cannot start a process");
    }
    if (pid == 0) {
        // The kernel ends the host when this program ends in an unexpected way.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() == parent) {
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            ::execve(s_program, arguments.data(), environment.data());
        }
        ::_exit(1);
    }
    ::close(log);
    m_pid = pid;
}

bool Host::awaitReady() const
{
    const auto end = Clock::now() + s_readyLimit;
    while (Clock::now() < end) {
        const auto connection = Connection::open(m_ip + ":" + s_readinessPort);
        if (connection && connection->send("GET /api/ready HTTP/1.1\r\nHost: " + m_ip + "\r\n\r\n")) {
            const auto response = connection->read(s_answerLimit);
            if (response && response->secondWord() == "200") {
                return true;
            }
        }
        std::this_thread::sleep_for(s_readyInterval);
    }
    return false;
}

void Host::signal(int number) const
{
    ::kill(*m_pid, number);
}

bool Host::isRunning()
{
    if (m_pid && ::waitpid(*m_pid, nullptr, WNOHANG) != 0) {
        m_pid.reset();
    }
    return m_pid.has_value();
}

std::size_t Host::residentMegabytes() const
{
    std::ifstream status(m_pid ? "/proc/" + std::to_string(*m_pid) + "/status" : std::string());
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word) {
        if (word == "VmRSS:") {
            status >> kilobytes;
            break;
        }
    }
    return kilobytes / s_kilobytesPerMegabyte;
}

std::string Host::callerAddress() const
{
    return m_ip + ":" + s_callerPort;
}

} // namespace Trefoil::Review
