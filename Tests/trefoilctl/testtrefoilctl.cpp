#include "administrationclient.h"
#include "report.h"
#include "settings.h"

#include <trefoilmountd/adminfixture.h>

#include <criterion/parameterized.h>
#include <cstdlib>

using namespace Trefoil;
using nlohmann::json;

namespace
{

struct SettingsCase
{
    char arguments[3][48];
    /// Expected findings; empty when the settings are sound.
    char findings[128];
};

struct ExitCase
{
    int status;
    ToolExit exit;
};

AdministrationResult sendThrough(AdminFixture &fixture, const ToolSettings &settings, const std::string &text)
{
    std::optional<AdministrationResult> result;
    boost::asio::spawn(fixture.cluster.context, [&](const boost::asio::yield_context &yield) {
        AdministrationClient client(fixture.cluster.context, settings);
        result = client.send(text, true, yield);
    });
    cr_assert(fixture.cluster.runUntil([&] { return result.has_value(); }, 15000));
    return *result;
}

} // namespace

// Guards against runs without a host or secret, and against a secret on the command line.
ParameterizedTestParameters(Trefoilctl, settings)
{
    static SettingsCase cases[] = {
        {{"--host=127.0.0.1:9", "show", "hosts"}, ""},
        {{"--host=localhost:9", "show", "hosts"}, "--host: \"localhost:9\" is not an IPv4 number and port (for example 127.0.0.1:9100)\n"},
        {{"show", "hosts", "-n"}, "--host: no host is given (or set TREFOIL_ADMIN_HOSTS)\n"},
        {{"--host=127.0.0.1:9", "--file=x", "show"}, "--file: a command is given too\n"},
        {{"--host=127.0.0.1:9", "--secret=x", "show"}, "command line: "},
        {{"--host=127.0.0.1:9", "--secret-file=/nowhere", "show"}, "--secret-file: "},
    };
    return cr_make_param_array(SettingsCase, cases, std::size(cases));
}

ParameterizedTest(SettingsCase *testCase, Trefoilctl, settings)
{
    setenv("TREFOIL_ADMIN_SECRET", "administration-secret", 1);
    const char *arguments[] = {"trefoilctl", testCase->arguments[0], testCase->arguments[1], testCase->arguments[2]};
    const auto result = parseToolSettings(4, arguments);
    const std::string findings = result.has_error() ? toText(result.error().findings) : "";
    const bool matches = testCase->findings[0] == '\0' ? findings.empty() : findings.rfind(testCase->findings, 0) == 0;
    cr_assert(matches, "%s", findings.c_str());
}

// Guards against exit codes that let a script go on after a change that is not in force.
ParameterizedTestParameters(Trefoilctl, exitCodes)
{
    static ExitCase cases[] = {{200, ToolExit::Done},
        {202, ToolExit::OutcomeOpen},
        {400, ToolExit::BadInput},
        {401, ToolExit::Refused},
        {409, ToolExit::Refused},
        {503, ToolExit::Refused},
        {504, ToolExit::OutcomeOpen},
        {500, ToolExit::Refused}};
    return cr_make_param_array(ExitCase, cases, std::size(cases));
}

ParameterizedTest(ExitCase *testCase, Trefoilctl, exitCodes)
{
    for (const bool asJson : {true, false}) {
        cr_assert(makeReport(AdministrationResponse{testCase->status, json{{"message", "x"}}}, asJson).exit == testCase->exit);
    }
    cr_assert(makeReport(NoHostReachable{"x"}, false).exit == ToolExit::Unreachable);
    cr_assert(makeReport(ChangeOutcomeUnknown{"x"}, false).exit == ToolExit::OutcomeOpen);
    cr_assert(makeReport(Error{ErrorCode::InvalidInput, "x"}, true).exit == ToolExit::BadInput);
}

// Guards against tables whose columns do not line up, and rows without some members.
Test(Trefoilctl, tables)
{
    const std::string text = tableText(json::array({{{"weight", 7}, {"upstream", "cat-1"}}, {{"upstream", "u"}, {"drained", true}}}));
    cr_assert_str_eq(text.c_str(), "  upstream  drained  weight\n  cat-1     -        7\n  u         yes      -\n");
}

// Guards against a tool that gives up at the first host, repeats a change that may have been made, or hides a refusal.
Test(Trefoilctl, hostsAreTriedInTurn)
{
    AdminFixture fixture;
    ToolSettings settings;
    settings.secret = s_secret;
    settings.sourceAddress = "127.0.0.1";
    settings.hosts = {"127.0.0.1:1", fixture.server->address()};
    const Report accepted = makeReport(sendThrough(fixture, settings, "drain region gulf"), false);
    cr_assert(accepted.exit == ToolExit::Done, "%s", accepted.text.c_str());
    cr_assert_eq(accepted.text.rfind("accepted: in force in every region (version 2)\n", 0), 0, "%s", accepted.text.c_str());
    settings.baseVersion = 1;
    const Report conflict = makeReport(sendThrough(fixture, settings, "drain region hill"), false);
    cr_assert(conflict.exit == ToolExit::Refused && conflict.text.find("region gulf") != std::string::npos, "%s", conflict.text.c_str());
    settings.hosts = {"127.0.0.1:1"};
    cr_assert(makeReport(sendThrough(fixture, settings, "drain region gulf"), false).exit == ToolExit::Unreachable);
}
