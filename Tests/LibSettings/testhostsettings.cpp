#include <LibSettings/hostsettings.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdlib>
#include <sstream>

using Trefoil::HostSettings;
using Trefoil::TextRequested;

namespace
{

constexpr const char *s_sound = "--host-id h1 --region gulf --zone gulf-a --caller-address 127.0.0.1:8001 --peer-address 127.0.0.1:8002 "
                                "--admin-address 127.0.0.1:8003 --table-address 127.0.0.1:9001 --object-address 127.0.0.1:9002 "
                                "--host-list-address 127.0.0.1:9003 --admin-secret-file /a --peer-secret-file /b ";

auto parse(const std::string &line)
{
    std::istringstream stream(line);
    std::vector<std::string> words = {"trefoilmountd"};
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    std::vector<const char *> argv;
    argv.reserve(words.size());
    for (const auto &word : words) {
        argv.push_back(word.c_str());
    }
    return Trefoil::parseHostSettings(static_cast<int>(argv.size()), argv.data());
}

struct FaultCase
{
    /// Appended to a sound command line; the last of two equal flags counts.
    char arguments[64];
    char variable[32];
    char value[16];
    char finding[96];
};

struct TextCase
{
    char arguments[16];
    char part[64];
};

} // namespace

// Guards against unsound settings that are accepted, and findings that do not name where the value came from.
ParameterizedTestParameters(HostSettings, faults)
{
    static FaultCase cases[] = {
        {"--host-id a/b", "", "", "--host-id: \"a/b\" is not a valid name"},
        {"--host-id", "", "", "--host-id: is missing (set --host-id or TREFOIL_HOST_ID)"},
        {"--caller-address localhost:1", "", "", "--caller-address: \"localhost:1\" is not an IPv4 number and port"},
        {"--peer-address=127.0.0.1:8001", "", "", "--peer-address: 127.0.0.1:8001 is also the --caller-address"},
        {"--source-address 127.0.0.1:1", "", "", "--source-address: \"127.0.0.1:1\" is not an IPv4 number"},
        {"", "TREFOIL_SOURCE_ADDRESS", "here", "TREFOIL_SOURCE_ADDRESS: \"here\" is not an IPv4 number"},
        {"--peers 127.0.0.1:1,,x", "", "", "--peers: \"x\" is not an IPv4 number and port"},
        {"--peers 127.0.0.1:1,,x", "", "", "--peers: is missing"},
        {"--threads 0", "", "", "--threads: \"0\" is not a number from 1 to 64"},
        {"--threads 2x", "", "", "--threads: \"2x\" is not a number from 1 to 64"},
        {"", "TREFOIL_THREADS", "65", "TREFOIL_THREADS: \"65\" is not a number from 1 to 64"},
        {"--threads x", "TREFOIL_THREADS", "2", "--threads: \"x\" is not a number"},
        {"--log-level loud", "", "", "--log-level: \"loud\" is not a level (debug, info, warning or error)"},
        {"--check=perhaps", "", "", "--check: \"perhaps\" is neither yes nor no"},
        {"--treads 3", "", "", "--treads: unknown flag (did you mean --threads?)"},
        {"stray", "", "", "stray: unexpected argument"},
    };
    return cr_make_param_array(FaultCase, cases, std::size(cases));
}

ParameterizedTest(FaultCase *testCase, HostSettings, faults)
{
    if (testCase->variable[0] != '\0') {
        setenv(testCase->variable, testCase->value, 1);
    }
    const auto result = parse(std::string(s_sound) + testCase->arguments);
    cr_assert(result.has_error());
    const std::string text = Trefoil::toText(result.error().findings);
    cr_assert_eq(text.rfind(testCase->finding, 0) != 0 && text.find(std::string("\n") + testCase->finding) == std::string::npos, false, "%s", text.c_str());
}

// Guards against reports that stop at the first fault.
Test(HostSettings, allFindingsTogether)
{
    const auto nothing = parse("");
    cr_assert(nothing.has_error());
    cr_assert_eq(nothing.error().findings.size(), 11);
    const auto several = parse(std::string(s_sound) + "--treads 3 --threads x --host-id --log-level loud");
    cr_assert(several.has_error());
    cr_assert_eq(several.error().findings.size(), 4, "%s", Trefoil::toText(several.error().findings).c_str());
}

// Guards against wrong defaults and against variables that are ignored or win over flags.
Test(HostSettings, soundSettings)
{
    setenv("TREFOIL_THREADS", "4", 1);
    setenv("TREFOIL_REGION", "plains", 1);
    setenv("TREFOIL_CHECK", "yes", 1);
    const auto result = parse(std::string(s_sound) + "--peers 127.0.0.1:1,127.0.0.2:2");
    cr_assert(result.has_value());
    const auto &settings = std::get<HostSettings>(result.value());
    cr_assert_eq(settings.threads, 4);
    cr_assert(settings.checkOnly);
    cr_assert(settings.region.value() == "gulf");
    cr_assert_eq(settings.peers.size(), 2);
    cr_assert(settings.advertisedPeerAddress == settings.peerAddress);
    cr_assert(settings.logLevel == Trefoil::LogLevel::Info);
    unsetenv("TREFOIL_CHECK");
    cr_assert_not(std::get<HostSettings>(parse(s_sound).value()).checkOnly);
    cr_assert(std::get<HostSettings>(parse(std::string(s_sound) + "--check").value()).checkOnly);
}

// Guards against help that omits groups, defaults or variables, and against a version that is taken for a fault.
ParameterizedTestParameters(HostSettings, requestedTexts)
{
    static TextCase cases[] = {
        {"--help", "Identity"},
        {"--help", "Platform"},
        {"--help", "1 to 64 [2]"},
        {"--help", "TREFOIL_ADVERTISED_PEER_ADDRESS"},
        {"--help", "2 for invalid settings"},
        {"--version", "trefoilmountd 0."},
    };
    return cr_make_param_array(TextCase, cases, std::size(cases));
}

ParameterizedTest(TextCase *testCase, HostSettings, requestedTexts)
{
    const auto result = parse(testCase->arguments);
    cr_assert(result.has_value());
    const auto &text = std::get<TextRequested>(result.value()).text;
    cr_assert(text.find(testCase->part) != std::string::npos, "%s", text.c_str());
}
