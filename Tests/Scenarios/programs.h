#pragma once

#include "runner.h"

#include <string>

namespace Trefoil::Scenarios
{

/// Paths of this build's programs, with the given folder for the run's files. The compile definitions come from CMake.
inline RunnerPaths builtPaths(const std::string &folder)
{
    const std::string build = TREFOIL_BUILD_FOLDER;
    return {{{"trefoilmountd", build + "/Services/trefoilmountd/trefoilmountd"},
                {"trefoilctl", build + "/Utilities/trefoilctl/trefoilctl"},
                {"standin", build + "/Tests/StandIns/standin"},
                {"standinplatform", build + "/Tests/StandIns/standinplatform"},
                {"statichost", build + "/Tests/Scenarios/statichost"},
                {"linkproxy", build + "/Tests/Scenarios/linkproxy"},
                {"loadtool", build + "/Tests/Load/loadtool"}},
        {TREFOIL_SCENARIO_SOURCES "/prelude.lua", TREFOIL_SCENARIO_SOURCES "/deployment.lua"},
        folder};
}

} // namespace Trefoil::Scenarios
