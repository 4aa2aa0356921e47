#pragma once

#include "process.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

struct lua_State;

namespace Trefoil::Scenarios
{

/// Where the runner finds programs and keeps files.
struct RunnerPaths
{
    /// Name to path, for example "trefoilmountd" or "standin".
    std::map<std::string, std::string> programs;
    /// Lua files with the words of the scenario language, in the order in which they are read.
    std::vector<std::string> preludes;
    /// Folder for configuration files and logs; created, and emptied before the run.
    std::string folder;
};

struct ScenarioResult
{
    /// Empty when every expectation held.
    std::vector<std::string> failures;
    /// Lines that the scenario reported, for example measured figures.
    std::vector<std::string> notes;
    /// What the scenario says it proves.
    std::vector<std::string> proves;
    /// Last lines of each process log; filled on failure only.
    std::string logs;
};

/// Runs one scenario file against real processes. Every process has ended when run() returns.
/// Thread safety: not safe; several runners may run in several processes at once.
class Runner
{
public:
    explicit Runner(RunnerPaths paths);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    /// Precondition: called once.
    ScenarioResult run(const std::string &scenarioPath);

private:
    friend int callNative(lua_State *state);
    using Native = nlohmann::json (Runner::*)(const nlohmann::json &);

    void runLua(const std::string &scenarioPath);
    void checkTime() const;
    std::string tailOfLogs() const;

    nlohmann::json start(const nlohmann::json &arguments);
    nlohmann::json signal(const nlohmann::json &arguments);
    nlohmann::json waitForExit(const nlohmann::json &arguments);
    nlohmann::json isRunning(const nlohmann::json &arguments);
    nlohmann::json http(const nlohmann::json &arguments);
    nlohmann::json sleep(const nlohmann::json &arguments);
    nlohmann::json now(const nlohmann::json &arguments);
    nlohmann::json unixMilliseconds(const nlohmann::json &arguments);
    nlohmann::json freePort(const nlohmann::json &arguments);
    nlohmann::json writeFile(const nlohmann::json &arguments);
    nlohmann::json readFile(const nlohmann::json &arguments);
    nlohmann::json decode(const nlohmann::json &arguments);
    nlohmann::json encode(const nlohmann::json &arguments);
    nlohmann::json configurationDocument(const nlohmann::json &arguments);
    nlohmann::json fail(const nlohmann::json &arguments);
    nlohmann::json note(const nlohmann::json &arguments);
    nlohmann::json proves(const nlohmann::json &arguments);
    nlohmann::json limit(const nlohmann::json &arguments);
    nlohmann::json network(const nlohmann::json &arguments);

    static const std::map<std::string, Native> s_natives;

    RunnerPaths m_paths;
    Processes m_processes;
    ScenarioResult m_result;
    std::chrono::steady_clock::time_point m_start;
    std::chrono::seconds m_limit{60};
    int m_nextPort;
};

} // namespace Trefoil::Scenarios
