#include "programs.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <cstring>
#include <filesystem>

namespace {

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

ParameterizedTestParameters(Scenarios, selfTest)
{
    static auto cases = scenariosIn("selftest");
    return cr_make_param_array(ScenarioCase, cases.data(), cases.size());
}

ParameterizedTest(ScenarioCase *testCase, Scenarios, selfTest, .timeout = 100)
{
    run(testCase->path);
}
