#include "programs.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace
{

/// A scenario that must fail, with a part of the failure's text.
struct FailingCase
{
    char name[24];
    char text[200];
    char failure[64];
};

struct ScenarioCase
{
    char path[256];
};

/// All scenario files of a folder in alphabetical order.
std::vector<ScenarioCase> scenariosIn(const std::string &folder)
{
    std::vector<std::string> paths;
    for (const auto &entry : std::filesystem::directory_iterator(std::string(TREFOIL_SCENARIO_SOURCES "/") + folder)) {
        if (entry.path().extension() == ".scenario") {
            paths.push_back(entry.path().string());
        }
    }
    std::sort(paths.begin(), paths.end());
    std::vector<ScenarioCase> cases(paths.size());
    for (std::size_t i = 0; i < paths.size(); ++i) {
        std::strncpy(cases[i].path, paths[i].c_str(), sizeof(cases[i].path) - 1);
    }
    return cases;
}

void run(const char *path)
{
    const std::string name = std::filesystem::path(path).stem().string();
    Trefoil::Scenarios::ScenarioResult result;
    {
        Trefoil::Scenarios::Runner runner(Trefoil::Scenarios::builtPaths(std::string(TREFOIL_BUILD_FOLDER "/Tests/Scenarios/logs/") + name));
        result = runner.run(path);
    }
    std::string text;
    for (const auto &failure : result.failures) {
        text += failure + "\n";
    }
    cr_assert(result.failures.empty(), "%s:\n%s%s", name.c_str(), text.c_str(), result.logs.c_str());
}

} // namespace

// Guards against a runner that passes a scenario whose expectation failed, that stopped half-way, or that never ends, and
// against processes that outlive their scenario.
ParameterizedTestParameters(Scenarios, failing)
{
    static FailingCase cases[] = {
        {"expectation", "expect(1 == 2, 'one is %d', 2)", "one is 2"},
        {"unknown-word", "expct(true)", "attempt to call a nil value"},
        {"syntax", "expect(", "unexpected symbol"},
        {"unknown-program", "start_process('a', 'nothing', {})", "unknown program"},
        {"no-files", "io.open('/etc/passwd')", "attempt to index a nil value"},
        {"endless-loop", "while true do end", "computes for too long"},
        {"too-slow", "limit(1) while true do wait(0.2) end", "took longer than 1 s"},
        {"cyclic", "local t = {} t.t = t native.encode(t)", "nested too deeply"},
        {"dead-process", "kill('nobody')", "does not run"},
        {"left-process",
            "start_process('left', 'standin', {'table'}) error('pid ' .. native.start({name='l2', program='standin', arguments={'table'}}))",
            "pid "},
    };
    return cr_make_param_array(FailingCase, cases, std::size(cases));
}

ParameterizedTest(FailingCase *testCase, Scenarios, failing, .timeout = 60)
{
    const std::string folder = std::string(TREFOIL_BUILD_FOLDER "/Tests/Scenarios/logs/failing-") + testCase->name;
    const std::string path = folder + ".scenario";
    std::filesystem::create_directories(TREFOIL_BUILD_FOLDER "/Tests/Scenarios/logs");
    std::ofstream(path) << testCase->text;
    Trefoil::Scenarios::Runner runner(Trefoil::Scenarios::builtPaths(folder));
    const auto result = runner.run(path);
    cr_assert_eq(result.failures.size(), 1);
    const std::string &failure = result.failures[0];
    cr_assert(failure.find(testCase->failure) != std::string::npos, "%s", failure.c_str());
    const auto position = failure.find("pid ");
    if (position != std::string::npos) {
        const int pid = std::stoi(failure.substr(position + 4));
        cr_assert_eq(kill(pid, 0), -1, "process %d is left", pid);
    }
}

ParameterizedTestParameters(Scenarios, selfTest)
{
    static auto cases = scenariosIn("selftest");
    return cr_make_param_array(ScenarioCase, cases.data(), cases.size());
}

ParameterizedTest(ScenarioCase *testCase, Scenarios, selfTest, .timeout = 100)
{
    run(testCase->path);
}

// The request path with fixed grants: these hosts have no control loops.
ParameterizedTestParameters(Scenarios, requestPath)
{
    static auto cases = scenariosIn("requestpath");
    return cr_make_param_array(ScenarioCase, cases.data(), cases.size());
}

ParameterizedTest(ScenarioCase *testCase, Scenarios, requestPath, .timeout = 120)
{
    run(testCase->path);
}

// Whole deployments: hosts with all control loops, the platform's stand-ins and upstreams.
ParameterizedTestParameters(Scenarios, wholeSystem)
{
    static auto cases = scenariosIn("cases");
    return cr_make_param_array(ScenarioCase, cases.data(), cases.size());
}

ParameterizedTest(ScenarioCase *testCase, Scenarios, wholeSystem, .timeout = 120)
{
    run(testCase->path);
}
