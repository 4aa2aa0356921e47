#include "administrationclient.h"
#include "check.h"
#include "explain.h"
#include "report.h"
#include "settings.h"

#include <LibCommand/parser.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace
{

using namespace Trefoil;

void print(const Report &report, bool asJson)
{
    // People find what went wrong on standard error; programs read one document from standard output.
    const bool toOutput = asJson || report.exit == ToolExit::Done || report.exit == ToolExit::OutcomeOpen;
    (toOutput ? std::cout : std::cerr) << report.text << std::flush;
}

Report run(const std::string &text, const ToolSettings &settings)
{
    const auto commands = parseCommands(text);
    if (commands.has_error()) {
        return makeReport(commands.error(), settings.json);
    }
    if (commands.value().empty()) {
        return {};
    }
    const bool hasChange = std::any_of(commands.value().begin(), commands.value().end(), isChange);
    return makeReport(sendAndWait(settings, text, hasChange), settings.json);
}

/// Runs each line as one text until the end of input.
ToolExit runPrompt(const ToolSettings &settings)
{
    ToolExit last = ToolExit::Done;
    std::string line;
    while (true) {
        std::cout << "trefoil> " << std::flush;
        if (!std::getline(std::cin, line) || line == "quit" || line == "exit") {
            return last;
        }
        const Report report = run(line, settings);
        print(report, settings.json);
        last = report.exit;
    }
}

std::string readAll(std::istream &stream)
{
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

ToolExit runText(const std::string &text, const ToolSettings &settings)
{
    const Report report = run(text, settings);
    print(report, settings.json);
    return report.exit;
}

ToolExit runTool(const ToolSettings &settings)
{
    if (!settings.command.empty()) {
        return runText(settings.command, settings);
    }
    if (!settings.file.empty() && settings.file != "-") {
        std::ifstream file(settings.file);
        if (!file) {
            const Error error{ErrorCode::InvalidInput, "the file cannot be read", {{"--file", "cannot be read", {}}}};
            print(makeReport(error, settings.json), settings.json);
            return ToolExit::BadInput;
        }
        return runText(readAll(file), settings);
    }
    if (settings.file.empty() && isatty(STDIN_FILENO) != 0) {
        return runPrompt(settings);
    }
    return runText(readAll(std::cin), settings);
}

} // namespace

int main(int argc, char **argv)
{
    // Logs are read without a host, so that the settings of the tool aren't needed.
    if (argc > 1 && std::string_view(argv[1]) == "explain") {
        return runExplain(argc - 1, argv + 1);
    }
    if (argc > 1 && std::string_view(argv[1]) == "check") {
        return runCheck(argc - 1, argv + 1);
    }
    const auto parsed = parseToolSettings(argc, argv);
    if (parsed.has_error()) {
        std::cerr << toText(parsed.error().findings);
        return static_cast<int>(ToolExit::BadInput);
    }
    if (const auto *help = std::get_if<ToolHelp>(&parsed.value())) {
        std::cout << help->text;
        return static_cast<int>(ToolExit::Done);
    }
    return static_cast<int>(runTool(std::get<ToolSettings>(parsed.value())));
}
