#include "check.h"

#include <LibRouting/configurationcheck.h>
#include <platform/decode.h>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace Trefoil
{

namespace
{

constexpr int s_hasErrors = 1;
constexpr int s_unreadable = 2;

std::string linesOf(std::string_view level, const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        text += fmt::format("{}: {}: {}\n", level, finding.place, finding.message);
    }
    return text;
}

/// Nothing when the file can't be read.
std::optional<std::string> readFile(const std::string &name)
{
    std::ostringstream text;
    if (name == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(name);
    if (!file) {
        return std::nullopt;
    }
    text << file.rdbuf();
    return text.str();
}

} // namespace

CheckOutcome checkConfigurationText(const std::string &proposed, const std::string &inForce)
{
    const auto decoded = Platform::decodeConfiguration(proposed);
    if (decoded.has_error()) {
        return {fmt::format("error: the configuration can't be read: {}\n", decoded.error().message), s_unreadable};
    }
    const RoutingConfiguration &configuration = decoded.value().configuration;
    ConfigurationReport report = checkConfiguration(configuration);
    CheckOutcome outcome;
    outcome.text = linesOf("error", report.errors) + linesOf("warning", report.warnings);
    outcome.exit = report.errors.empty() ? 0 : s_hasErrors;
    if (!inForce.empty()) {
        const auto current = Platform::decodeConfiguration(inForce);
        if (current.has_error()) {
            return {fmt::format("{}error: the configuration in force can't be read: {}\n", outcome.text, current.error().message), s_unreadable};
        }
        for (const std::string &line : describeChanges(current.value().configuration, configuration)) {
            outcome.text += "change: " + line + "\n";
        }
    }
    outcome.text += fmt::format("{} errors, {} warnings\n", report.errors.size(), report.warnings.size());
    return outcome;
}

int runCheck(int argc, const char *const *argv)
{
    CLI::App app("Checks a configuration before it is sent");
    std::string proposedFile;
    std::string inForceFile;
    app.add_option("file", proposedFile, "the configuration, as the store would hold it")->required();
    app.add_option("--in-force", inForceFile, "the configuration in force, to tell what changes");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : s_unreadable;
    }
    const auto proposed = readFile(proposedFile);
    const auto inForce = inForceFile.empty() ? std::make_optional(std::string()) : readFile(inForceFile);
    if (!proposed || !inForce) {
        std::cerr << fmt::format("error: {} can't be read\n", proposed ? inForceFile : proposedFile);
        return s_unreadable;
    }
    const CheckOutcome outcome = checkConfigurationText(*proposed, *inForce);
    std::cout << outcome.text << std::flush;
    return outcome.exit;
}

} // namespace Trefoil
