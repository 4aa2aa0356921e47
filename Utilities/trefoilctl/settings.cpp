#include "settings.h"

#include <LibConfiguration/validation.h>
#include <LibSettings/secretfile.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fmt/format.h>

namespace Trefoil
{

namespace
{

const char *const s_footer = "Environment: TREFOIL_ADMIN_HOSTS (comma-separated), TREFOIL_ADMIN_SECRET_FILE, TREFOIL_ADMIN_SECRET.\n"
                             "Exit codes: 0 done, 1 refused or conflict, 2 bad input, 3 no host reachable,\n"
                             "4 committed but not yet confirmed, or outcome unknown.";

std::string environment(const char *name)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe): documented in the header
    return value == nullptr ? std::string() : std::string(value);
}

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const auto &word : words) {
        text += (text.empty() ? "" : " ") + word;
    }
    return text;
}

void readSecret(const std::string &file, ToolSettings &settings, Findings &findings)
{
    if (file.empty()) {
        settings.secret = environment("TREFOIL_ADMIN_SECRET");
        if (settings.secret.empty()) {
            findings.push_back({"--secret-file", "no secret is given", "or set TREFOIL_ADMIN_SECRET"});
        }
        return;
    }
    auto secret = readSecretFile("--secret-file", file);
    if (secret.has_error()) {
        findings.insert(findings.end(), secret.error().findings.begin(), secret.error().findings.end());
        return;
    }
    settings.secret = std::move(secret.value());
}

void checkHosts(const std::vector<std::string> &hosts, Findings &findings)
{
    if (hosts.empty()) {
        findings.push_back({"--host", "no host is given", "or set TREFOIL_ADMIN_HOSTS"});
    }
    for (const auto &host : hosts) {
        if (!isValidAddress(host)) {
            findings.push_back({"--host", fmt::format("\"{}\" is not an IPv4 number and port", host), "for example 127.0.0.1:9100"});
        }
    }
}

} // namespace

Result<std::variant<ToolSettings, ToolHelp>> parseToolSettings(int argc, const char *const *argv)
{
    ToolSettings settings;
    std::vector<std::string> words;
    std::string secretFile;
    std::uint64_t baseVersion = 0;
    int timeoutSeconds = static_cast<int>(settings.timeout.count());
    settings.author = environment("USER");

    CLI::App app{"Changes and queries trefoilmount. Without a command and file, commands are read from standard input.", "trefoilctl"};
    app.footer(s_footer);
    app.add_option("command", words, "One command, or several separated by ';'");
    app.add_option("--host", settings.hosts, "Administration address, IP:port; several are tried in turn")
        ->envname("TREFOIL_ADMIN_HOSTS")
        ->delimiter(',')
        ->allow_extra_args(false);
    app.add_option("--secret-file", secretFile, "File that holds the administration secret")->envname("TREFOIL_ADMIN_SECRET_FILE");
    app.add_option("--source-address", settings.sourceAddress, "Local IP of the connections");
    app.add_option("--author", settings.author, "Name recorded with a change");
    app.add_option("-f,--file", settings.file, "File of commands that make one change; - for standard input");
    auto *baseOption = app.add_option("--base-version", baseVersion, "Change only this version; otherwise report the conflict");
    app.add_option("--timeout", timeoutSeconds, "Seconds to wait for a host's answer")->check(CLI::Range(1, 600));
    app.add_flag("-n,--dry-run", settings.dryRun, "Report what would change");
    app.add_flag("--json", settings.json, "Print responses as JSON");
    try {
        app.parse(argc, argv);
    } catch (const CLI::CallForHelp &) {
        return std::variant<ToolSettings, ToolHelp>(ToolHelp{app.help()});
    } catch (const CLI::ParseError &error) {
        return Error{ErrorCode::InvalidInput, "the settings are invalid", {{"command line", error.what(), "see --help"}}};
    }

    Findings findings;
    checkHosts(settings.hosts, findings);
    readSecret(secretFile, settings, findings);
    settings.command = joined(words);
    if (!settings.command.empty() && !settings.file.empty()) {
        findings.push_back({"--file", "a command is given too", {}});
    }
    if (baseOption->count() != 0) {
        settings.baseVersion = baseVersion;
    }
    settings.timeout = std::chrono::seconds(timeoutSeconds);
    if (!findings.empty()) {
        return Error{ErrorCode::InvalidInput, "the settings are invalid", std::move(findings)};
    }
    return std::variant<ToolSettings, ToolHelp>(std::move(settings));
}

} // namespace Trefoil
